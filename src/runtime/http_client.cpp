#include "runtime/http_client.hpp"

#include <asio/ip/tcp.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <curl/curl.h>
#include <map>
#include <unistd.h>

namespace papayahook::runtime {

namespace {

constexpr long max_idle_connections = 2048;
constexpr long receive_buffer_bytes = 16 * 1024;

// Reports libcurl's codes through std::error_code.
class curl_category_type final : public std::error_category
{
public:
    char const* name() const noexcept override { return "curl"; }
    std::string message(int code) const override
    {
        return curl_easy_strerror(static_cast<CURLcode>(code));
    }
};

std::error_code curl_error(CURLcode code)
{
    static curl_category_type const category;
    return {static_cast<int>(code), category};
}

struct transfer
{
    std::uint64_t id = 0;
    http_call call;
    CURL* easy = nullptr;
    curl_slist* header_lines = nullptr;
    header_list headers; // of the answer
    int status = 0;
    bool head_reported = false;
    bool paused = false;
    bool cancelled = false; // reports nothing any more

    ~transfer()
    {
        curl_slist_free_all(header_lines);
        curl_easy_cleanup(easy);
    }
};

void report_head(transfer& t)
{
    if (t.head_reported)
        return;
    t.head_reported = true;
    if (t.call.on_head && !t.cancelled)
        t.call.on_head(t.status, t.headers);
}

std::size_t on_header(char* data, std::size_t size, std::size_t n, void* user)
{
    auto& t = *static_cast<transfer*>(user);
    std::string_view line(data, size * n);
    while (!line.empty() && (line.back() == '\r' || line.back() == '\n'))
        line.remove_suffix(1);
    if (line.starts_with("HTTP/")) {
        long status = 0;
        curl_easy_getinfo(t.easy, CURLINFO_RESPONSE_CODE, &status);
        t.status = static_cast<int>(status);
        t.headers.clear();
    }
    else if (auto const colon = line.find(':'); colon != line.npos) {
        auto value = line.substr(colon + 1);
        value.remove_prefix(
            std::min(value.find_first_not_of(' '), value.size()));
        t.headers.emplace_back(line.substr(0, colon), value);
    }
    else if (line.empty() && t.status >= 200) {
        report_head(t);
    }
    return size * n;
}

std::size_t on_body(char* data, std::size_t size, std::size_t n, void* user)
{
    auto& t = *static_cast<transfer*>(user);
    if (t.paused)
        return CURL_WRITEFUNC_PAUSE;
    report_head(t);
    if (t.call.on_data && !t.cancelled)
        t.call.on_data({data, size * n});
    return size * n;
}

std::string step_of(CURLcode code, transfer const& t)
{
    if (code == CURLE_COULDNT_CONNECT)
        return "connect";
    if (code == CURLE_OPERATION_TIMEDOUT)
        return t.status == 0 ? "timeout" : "receive";
    if (code == CURLE_SEND_ERROR)
        return "send";
    return "receive";
}

// A connection that was never established cannot have carried a byte.
bool may_have_run(CURL* easy, CURLcode code)
{
    if (code == CURLE_OK)
        return true;
    if (code == CURLE_COULDNT_CONNECT || code == CURLE_URL_MALFORMAT)
        return false;
    curl_off_t connected = 0;
    long sent = 0;
    curl_easy_getinfo(easy, CURLINFO_PRETRANSFER_TIME_T, &connected);
    curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &sent);
    return connected != 0 || sent != 0;
}

void configure(transfer& t)
{
    t.easy = curl_easy_init();
    auto const set = [&](CURLoption option, auto value) {
        curl_easy_setopt(t.easy, option, value);
    };
    set(CURLOPT_URL, t.call.url.c_str());
    set(CURLOPT_PRIVATE, &t);
    set(CURLOPT_NOSIGNAL, 1L);
    set(CURLOPT_TCP_NODELAY, 1L);
    set(CURLOPT_BUFFERSIZE, receive_buffer_bytes);
    set(CURLOPT_HEADERFUNCTION, &on_header);
    set(CURLOPT_HEADERDATA, &t);
    set(CURLOPT_WRITEFUNCTION, &on_body);
    set(CURLOPT_WRITEDATA, &t);
    set(CURLOPT_CONNECTTIMEOUT_MS,
        static_cast<long>(t.call.connect_timeout.count()));
    set(CURLOPT_TIMEOUT_MS, static_cast<long>(t.call.total_timeout.count()));
    set(CURLOPT_FRESH_CONNECT, t.call.fresh_connection ? 1L : 0L);
    set(CURLOPT_CUSTOMREQUEST, t.call.method.c_str());
    bool const has_body = !t.call.body.empty() || t.call.method == "POST" ||
                          t.call.method == "PUT";
    if (has_body) {
        set(CURLOPT_POSTFIELDSIZE_LARGE,
            static_cast<curl_off_t>(t.call.body.size()));
        set(CURLOPT_POSTFIELDS, t.call.body.data());
        // Without this libcurl waits for "100 Continue" on large bodies.
        t.header_lines = curl_slist_append(t.header_lines, "Expect:");
    }
    for (auto const& [name, value] : t.call.headers) {
        std::string line = name;
        line += ": ";
        line += value;
        t.header_lines = curl_slist_append(t.header_lines, line.c_str());
    }
    set(CURLOPT_HTTPHEADER, t.header_lines);
}

struct curl_global
{
    curl_global() { curl_global_init(CURL_GLOBAL_DEFAULT); }
};

} // namespace

struct http_client::impl
{
    struct watched
    {
        asio::posix::stream_descriptor descriptor;
        int wanted = 0; // CURL_POLL_*
        bool reading = false;
        bool writing = false;
    };

    asio::io_context& io;
    CURLM* multi = nullptr;
    asio::steady_timer timer;
    std::uint64_t next_id = 1;
    bool inside_curl = false; // libcurl refuses calls from its callbacks
    std::map<std::uint64_t, std::unique_ptr<transfer>> transfers;
    std::map<int, std::shared_ptr<watched>> sockets;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);

    explicit impl(asio::io_context& ctx) : io(ctx), timer(ctx)
    {
        static curl_global const once;
        multi = curl_multi_init();
        auto const set = [&](CURLMoption option, auto value) {
            curl_multi_setopt(multi, option, value);
        };
        set(CURLMOPT_SOCKETFUNCTION, &impl::on_socket);
        set(CURLMOPT_SOCKETDATA, this);
        set(CURLMOPT_TIMERFUNCTION, &impl::on_timer);
        set(CURLMOPT_TIMERDATA, this);
        set(CURLMOPT_MAXCONNECTS, max_idle_connections);
    }

    ~impl()
    {
        *alive = false;
        for (auto& [id, t] : transfers)
            curl_multi_remove_handle(multi, t->easy);
        transfers.clear();
        curl_multi_cleanup(multi);
        for (auto& [fd, it] : sockets)
            it->descriptor.release();
    }

    static int on_socket(CURL*, curl_socket_t fd, int what, void* user, void*)
    {
        auto& self = *static_cast<impl*>(user);
        auto it = self.sockets.find(fd);
        if (what == CURL_POLL_REMOVE) {
            if (it == self.sockets.end())
                return 0;
            it->second->wanted = 0;
            it->second->descriptor.release(); // libcurl closes it
            self.sockets.erase(it);
            return 0;
        }
        if (it == self.sockets.end()) {
            auto entry = std::make_shared<watched>(
                watched{asio::posix::stream_descriptor(self.io, fd)});
            it = self.sockets.emplace(fd, std::move(entry)).first;
        }
        it->second->wanted = what;
        self.watch(fd, it->second);
        return 0;
    }

    static int on_timer(CURLM*, long timeout_ms, void* user)
    {
        auto& self = *static_cast<impl*>(user);
        self.timer.cancel();
        if (timeout_ms < 0)
            return 0;
        self.timer.expires_after(std::chrono::milliseconds(timeout_ms));
        self.timer.async_wait([&self, alive = self.alive](auto ec) {
            if (!ec && *alive)
                self.act(CURL_SOCKET_TIMEOUT, 0);
        });
        return 0;
    }

    void watch(int fd, std::shared_ptr<watched> const& it)
    {
        using wait_type = asio::posix::stream_descriptor::wait_type;
        bool const read = it->wanted & CURL_POLL_IN;
        bool const write = it->wanted & CURL_POLL_OUT;
        if (read && !it->reading) {
            it->reading = true;
            it->descriptor.async_wait(wait_type::wait_read,
                                      [this, fd, it, a = alive](auto ec) {
                                          it->reading = false;
                                          ready(fd, it, a, ec, CURL_CSELECT_IN);
                                      });
        }
        if (write && !it->writing) {
            it->writing = true;
            it->descriptor.async_wait(
                wait_type::wait_write, [this, fd, it, a = alive](auto ec) {
                    it->writing = false;
                    ready(fd, it, a, ec, CURL_CSELECT_OUT);
                });
        }
    }

    void ready(int fd, std::shared_ptr<watched> const& it,
               std::shared_ptr<bool> const& still_alive, std::error_code ec,
               int action)
    {
        if (!*still_alive || ec == asio::error::operation_aborted)
            return;
        auto const found = sockets.find(fd);
        if (found == sockets.end() || found->second != it)
            return;
        bool const wanted = action == CURL_CSELECT_IN
                                ? (it->wanted & CURL_POLL_IN) != 0
                                : (it->wanted & CURL_POLL_OUT) != 0;
        if (!wanted)
            return;
        act(fd, ec ? CURL_CSELECT_ERR : action);
        auto const again = sockets.find(fd);
        if (again != sockets.end() && again->second == it)
            watch(fd, it);
    }

    void act(curl_socket_t fd, int action)
    {
        int running = 0;
        inside_curl = true;
        curl_multi_socket_action(multi, fd, action, &running);
        inside_curl = false;
        collect();
    }

    void collect()
    {
        int left = 0;
        while (auto* msg = curl_multi_info_read(multi, &left)) {
            if (msg->msg != CURLMSG_DONE)
                continue;
            auto const code = msg->data.result;
            void* user = nullptr;
            curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE, &user);
            finish(static_cast<transfer*>(user)->id, code);
        }
    }

    void add(std::uint64_t id)
    {
        auto const it = transfers.find(id);
        if (it != transfers.end() && !it->second->cancelled)
            curl_multi_add_handle(multi, it->second->easy);
    }

    void remove(std::uint64_t id)
    {
        auto const node = transfers.extract(id);
        if (!node.empty())
            curl_multi_remove_handle(multi, node.mapped()->easy);
    }

    void finish(std::uint64_t id, CURLcode code)
    {
        auto node = transfers.extract(id);
        auto& t = *node.mapped();
        http_result result;
        result.status = t.status;
        result.may_have_run = may_have_run(t.easy, code);
        if (code != CURLE_OK) {
            result.error = curl_error(code);
            result.step = step_of(code, t);
        }
        else {
            report_head(t);
        }
        curl_multi_remove_handle(multi, t.easy);
        if (t.call.on_done && !t.cancelled)
            t.call.on_done(result);
    }
};

http_client::http_client(asio::io_context& io)
    : impl_(std::make_unique<impl>(io))
{
}

http_client::~http_client() = default;

std::uint64_t http_client::start(http_call call)
{
    auto t = std::make_unique<transfer>();
    auto const id = impl_->next_id++;
    t->id = id;
    t->call = std::move(call);
    configure(*t);
    impl_->transfers.emplace(id, std::move(t));
    if (!impl_->inside_curl) {
        impl_->add(id);
        return id;
    }
    asio::post(impl_->io, [this, id, alive = impl_->alive] {
        if (*alive)
            impl_->add(id);
    });
    return id;
}

void http_client::cancel(std::uint64_t id)
{
    auto const it = impl_->transfers.find(id);
    if (it == impl_->transfers.end())
        return;
    // A cancel may come from one of the transfer's own callbacks: neither
    // libcurl nor the callback would bear its removal now.
    it->second->cancelled = true;
    asio::post(impl_->io, [this, id, alive = impl_->alive] {
        if (*alive)
            impl_->remove(id);
    });
}

void http_client::pause(std::uint64_t id)
{
    auto const it = impl_->transfers.find(id);
    if (it != impl_->transfers.end())
        it->second->paused = true;
}

void http_client::resume(std::uint64_t id)
{
    auto const it = impl_->transfers.find(id);
    if (it == impl_->transfers.end() || !it->second->paused)
        return;
    it->second->paused = false;
    asio::post(impl_->io, [this, id, alive = impl_->alive] {
        if (!*alive)
            return;
        auto const found = impl_->transfers.find(id);
        if (found != impl_->transfers.end())
            curl_easy_pause(found->second->easy, CURLPAUSE_CONT);
    });
}

http_answer fetch(http_call call)
{
    asio::io_context io;
    http_client client(io);
    http_answer out;
    bool done = false;
    call.on_head = [&](int, header_list const& it) {
        out.headers = it;
    };
    call.on_data = [&](std::string_view it) {
        out.body += it;
    };
    call.on_done = [&](http_result const& it) {
        out.result = it;
        done = true;
    };
    client.start(std::move(call));
    while (!done && io.run_one() != 0) {
    }
    return out;
}

} // namespace papayahook::runtime
