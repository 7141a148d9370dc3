#include "soak/runners.hpp"

#include "platform/wire.hpp"
#include "support/processes.hpp"

#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <unistd.h>

namespace papayahook::soak {

namespace {

using namespace std::chrono_literals;
namespace wire = platform::wire;

// Of a read between requests; longer than any run of the soak.
constexpr auto idle_limit = 300s;
constexpr auto write_limit = 30s;

std::string event(std::string const& id, int number)
{
    auto const n = std::to_string(number);
    return "id: " + n + "\ndata: " + id + "-" + n + "\n\n";
}

wish wish_of(message const& in)
{
    wish out;
    auto const kind = in.head.find(" /");
    out.kind = in.head.at(kind + 2);
    out.id = field(in.head, wire::request_id);
    out.size = std::stoul("0" + query_of(in.head, "n"));
    out.work =
        std::chrono::milliseconds(std::stoi("0" + query_of(in.head, "t")));
    out.body = std::stoul("0" + query_of(in.head, "b"));
    out.after = std::stoi("0" + field(in.head, wire::last_event));
    return out;
}

std::string chunk(std::string const& text)
{
    char size[24];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
}

} // namespace

bool streams(wish const& it)
{
    return it.kind != 'i' && it.kind != 'o';
}

std::string pattern(std::string const& id, std::size_t size)
{
    std::string out;
    out.reserve(size + id.size());
    while (out.size() < size)
        out += id;
    out.resize(size);
    return out;
}

std::string path_of(wish const& it)
{
    return std::string("/") + it.kind + "/x?n=" + std::to_string(it.size) +
           "&t=" + std::to_string(it.work.count()) +
           "&b=" + std::to_string(it.body);
}

std::string answer_to(wish const& it)
{
    if (!streams(it))
        return "answer to " + it.id + " " + pattern(it.id, it.size);
    std::string out;
    for (int n = it.after + 1; n <= static_cast<int>(it.size); ++n)
        out += event(it.id, n);
    return out;
}

runners::runners(support::platform_fake& platform, std::string service,
                 int count, bool of_models)
    : platform_(platform), service_(std::move(service)), of_models_(of_models)
{
    for (int n = 0; n < count; ++n) {
        runner it;
        it.name = service_ + "-" + std::to_string(n) + "-1";
        it.port = support::free_port();
        it.fd = listen_on_loopback(it.port);
        all_.push_back(it);
        enroll(it, "ready");
    }
    std::scoped_lock const lock(mutex_);
    for (std::size_t n = 0; n < all_.size(); ++n)
        threads_.emplace_back([this, n] { serve(n); });
}

runners::~runners()
{
    std::vector<std::thread> threads;
    {
        std::scoped_lock const lock(mutex_);
        stops_ = true;
        for (auto const& it : all_)
            ::shutdown(it.fd, SHUT_RDWR);
        for (int const fd : open_)
            ::shutdown(fd, SHUT_RDWR);
    }
    // The listeners' threads end first: they add the other ones.
    for (std::size_t n = 0; n < all_.size(); ++n)
        threads_[n].join();
    for (std::size_t n = all_.size(); n < threads_.size(); ++n)
        threads_[n].join();
    for (auto const& it : all_)
        ::close(it.fd);
}

void runners::enroll(runner const& it, char const* state)
{
    nlohmann::json entry{{"service", service_},
                         {"address", "127.0.0.1:" + std::to_string(it.port)},
                         {"zone", "zone-a"},
                         {"version", "v1"},
                         {"slots", 16},
                         {"state", state},
                         {"sequence", it.incarnation},
                         {"born", it.incarnation}};
    if (of_models_)
        entry["models"] = nlohmann::json::array();
    platform_.put(wire::endpoint_topic, it.name, entry.dump());
}

void runners::leave(std::size_t number, bool by_header, bool by_entry,
                    std::chrono::milliseconds rest)
{
    runner it;
    {
        std::scoped_lock const lock(mutex_);
        all_.at(number).leaving = by_header;
        it = all_.at(number);
    }
    if (by_entry)
        enroll(it, "draining");
    std::this_thread::sleep_for(rest);
    platform_.put(wire::endpoint_topic, it.name, "");
    {
        std::scoped_lock const lock(mutex_);
        auto& next = all_.at(number);
        next.leaving = false;
        next.incarnation++;
        next.name = service_ + "-" + std::to_string(number) + "-" +
                    std::to_string(next.incarnation);
        it = next;
    }
    enroll(it, "ready");
}

std::map<std::string, std::vector<run>> runners::runs()
{
    std::scoped_lock const lock(mutex_);
    return runs_;
}

std::vector<std::string> runners::faults()
{
    std::scoped_lock const lock(mutex_);
    return faults_;
}

void runners::serve(std::size_t number)
{
    for (;;) {
        int const fd =
            ::accept4(all_[number].fd, nullptr, nullptr, SOCK_CLOEXEC);
        std::scoped_lock const lock(mutex_);
        if (fd < 0 || stops_) {
            if (fd >= 0)
                ::close(fd);
            if (stops_ || errno != ECONNABORTED)
                return;
            continue;
        }
        open_.insert(fd);
        threads_.emplace_back([this, number, fd] { talk(number, line(fd)); });
    }
}

void runners::talk(std::size_t number, line to)
{
    for (;;) {
        auto const in = read_message(to, clock::now() + idle_limit, false);
        if (in.end != ending::complete || !answer(number, in, to))
            break;
    }
    std::scoped_lock const lock(mutex_);
    open_.erase(to.fd());
    to.close();
}

bool runners::answer(std::size_t number, message const& in, line& to)
{
    auto const until = clock::now() + write_limit;
    auto const it = wish_of(in);
    std::string headers = std::string(wire::request_id) + ": " + it.id + "\r\n";
    std::string name;
    {
        std::scoped_lock const lock(mutex_);
        auto const& self = all_[number];
        name = self.name;
        if (self.leaving)
            headers += std::string(wire::leaving) + ": 1\r\n";
    }
    auto const reply = [&](char const* status, std::string const& more) {
        return to.send("HTTP/1.1 " + std::string(status) + "\r\n" + headers +
                           more + "Content-Length: 0\r\n\r\n",
                       until);
    };
    if (in.head.starts_with("GET /health"))
        return reply("200 OK", "Instance-Id: " + name + "\r\n");
    if (it.id.empty() || in.head.starts_with("GET /v1/"))
        return reply("404 Not Found", "");
    if (field(in.head, wire::expect_endpoint) != name)
        return reply("421 Other", std::string(wire::not_run) + ": 1\r\n");
    std::size_t at = 0;
    {
        std::scoped_lock const lock(mutex_);
        if (in.body != pattern(it.id, it.body))
            faults_.push_back("UNASKED: request " + it.id + " came with " +
                              std::to_string(in.body.size()) +
                              " bytes that are not its body");
        auto& mine = runs_[it.id];
        at = mine.size();
        mine.push_back({name, clock::now(), {}});
    }
    bool const written =
        work(it, headers + "Response-Seal: seal-" + name + "\r\n", to);
    std::scoped_lock const lock(mutex_);
    auto& mine = runs_[it.id][at];
    mine.ended = clock::now();
    mine.ends = true;
    mine.written = written;
    return written;
}

bool runners::work(wish const& it, std::string const& headers, line& to)
{
    auto const until = clock::now() + write_limit;
    if (!streams(it)) {
        std::this_thread::sleep_for(it.work);
        auto const body = answer_to(it);
        return to.send("HTTP/1.1 200 OK\r\n" + headers + "Content-Length: " +
                           std::to_string(body.size()) + "\r\n\r\n" + body,
                       until);
    }
    if (!to.send("HTTP/1.1 200 OK\r\n" + headers +
                     "Content-Type: text/event-stream\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n",
                 until))
        return false;
    for (int n = it.after + 1; n <= static_cast<int>(it.size); ++n) {
        std::this_thread::sleep_for(it.work);
        if (!to.send(chunk(event(it.id, n)), until))
            return false;
    }
    return to.send("0\r\n\r\n", until);
}

} // namespace papayahook::soak
