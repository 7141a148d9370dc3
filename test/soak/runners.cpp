#include "soak/runners.hpp"

#include "platform/wire.hpp"
#include "support/processes.hpp"

#include <asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

namespace papayahook::soak {

namespace {

namespace wire = platform::wire;
using runtime::header_value;
using std::to_string;

std::string event(wish const& it, int number)
{
    auto const n = to_string(number);
    if (it.kind == 'b')
        return "\n";
    if (it.kind == 'f')
        return "id:" + n + "\ndata:\n\n";
    auto const& id = it.id;
    return "id: " + n + "\ndata: " + id + "-" + n + "\n\n";
}

// Events that are sent at once.
int burst_of(wish const& it)
{
    return it.kind == 'b' ? 40'000 : it.kind == 'f' ? 2'500 : 1;
}

std::string prefix_of(wish const& it)
{
    std::string out;
    for (int n = 0; n < it.parts; ++n)
        out += n == 0 ? "a:1" : ",a:1";
    return out;
}

wish wish_of(runtime::http_request const& in)
{
    auto const number = [&](char const* name) {
        return std::stoi("0" + runtime::query_value(in.query, name));
    };
    wish out;
    out.kind = in.path.at(1);
    out.id = header_value(in.headers, wire::request_id);
    out.size = number("n");
    out.work = milliseconds(number("t"));
    out.body = static_cast<std::size_t>(number("b"));
    out.parts = number("p");
    out.after = std::stoi(
        "0" + std::string(header_value(in.headers, wire::last_event)));
    return out;
}

} // namespace

bool streams(wish const& it)
{
    return it.kind != 'i' && it.kind != 'o';
}

std::string pattern(std::string const& id, std::size_t size)
{
    std::string out;
    while (out.size() < size)
        out += id;
    out.resize(size);
    return out;
}

std::string answer_to(wish const& it)
{
    if (!streams(it))
        return "answer to " + it.id + " " +
               pattern(it.id, static_cast<std::size_t>(it.size));
    std::string out;
    for (int n = it.after + 1; n <= it.size; ++n)
        out += event(it, n);
    return out;
}

std::string bytes_of(wish const& it, bool in_chunks)
{
    auto const route = it.route.empty() ? std::string(1, it.kind) : it.route;
    auto out = "POST /" + route + "/x?n=" + to_string(it.size) +
               "&t=" + to_string(it.work.count()) + "&b=" + to_string(it.body) +
               "&p=" + to_string(it.parts) + " HTTP/1.1\r\nHost: h\r\n" +
               wire::request_id + ": " + it.id + "\r\n" + wire::key + ": " +
               wire::key_scheme + "k1\r\n";
    if (it.after > 0)
        out +=
            std::string(wire::last_event) + ": " + to_string(it.after) + "\r\n";
    if (it.parts > 0)
        out += std::string(wire::prefix) + ": " + prefix_of(it) + "\r\n";
    for (int left = it.fields; left > 0; --left)
        out += "x:1\r\n";
    auto const body = pattern(it.id, it.body);
    if (!in_chunks || body.empty())
        return out + "Content-Length: " + to_string(body.size()) + "\r\n\r\n" +
               body;
    char size[24];
    std::snprintf(size, sizeof size, "%zx\r\n", body.size());
    return out + "Transfer-Encoding: chunked\r\n\r\n" + size + body +
           "\r\n0\r\n\r\n";
}

runners::runners(support::platform_fake& platform, std::string service,
                 int count, bool of_models)
    : platform_(platform), service_(std::move(service)), of_models_(of_models),
      all_(static_cast<std::size_t>(count)), work_(io_.get_executor())
{
    for (std::size_t n = 0; n < all_.size(); ++n) {
        runtime::http_server_options options;
        options.port = support::free_port();
        all_[n].before =
            std::make_unique<proxy>("127.0.0.1:" + to_string(options.port));
        servers_.push_back(std::make_unique<runtime::http_server>(
            io_, options,
            [this, n](auto const& in, auto out) { answer(n, in, out); }));
        enroll(n, "ready");
    }
    thread_ = std::thread([this] { io_.run(); });
}

runners::~runners()
{
    io_.stop();
    thread_.join();
}

std::string runners::name_of(std::size_t number) const
{
    return service_ + "-" + to_string(number) + "-" +
           to_string(all_[number].incarnation);
}

void runners::enroll(std::size_t number, char const* state)
{
    auto const& it = all_[number];
    nlohmann::json entry{{"service", service_},
                         {"address", it.before->address},
                         {"zone", "zone-a"},
                         {"version", "v1"},
                         {"slots", slots},
                         {"state", state},
                         {"sequence", it.incarnation},
                         {"born", it.incarnation}};
    if (of_models_)
        entry["models"] = nlohmann::json::array();
    platform_.put(wire::endpoint_topic, name_of(number), entry.dump());
}

void runners::leave(std::size_t number, bool by_header, bool by_entry,
                    milliseconds rest)
{
    {
        std::scoped_lock const lock(mutex_);
        all_[number].leaving = by_header;
        if (by_entry)
            enroll(number, "draining");
    }
    std::this_thread::sleep_for(rest);
    std::scoped_lock const lock(mutex_);
    platform_.put(wire::endpoint_topic, name_of(number), "");
    all_[number].leaving = false;
    all_[number].incarnation++;
    enroll(number, "ready");
}

void runners::break_off(std::size_t number, bool silently)
{
    std::scoped_lock const lock(mutex_);
    auto const name = name_of(number);
    for (auto& [id, all] : runs_)
        for (auto& it : all)
            if (it.runner == name && it.ended > clock::now())
                it.broken_off = true;
    way_to(number).break_off(silently);
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

void runners::answer(std::size_t number, runtime::http_request const& in,
                     runtime::responder_ptr const& out)
{
    std::scoped_lock const lock(mutex_);
    auto const name = name_of(number);
    if (in.path == "/health")
        return out->send(200, {{"Instance-Id", name}}, "");
    auto const it = wish_of(in);
    if (it.id.empty())
        return out->send(404, {}, "");
    runtime::header_list headers{{wire::request_id, it.id}};
    if (all_[number].leaving)
        headers.emplace_back(wire::leaving, "1");
    if (header_value(in.headers, wire::expect_endpoint) != name) {
        headers.emplace_back(wire::not_run, "1");
        return out->send(421, headers, "");
    }
    if (in.body.get() != pattern(it.id, it.body))
        faults_.push_back("UNASKED: " + it.id + " came with another body");
    if (header_value(in.headers, wire::prefix) != prefix_of(it))
        faults_.push_back("UNASKED: " + it.id + " came with another prompt");
    runs_[it.id].push_back({name, clock::now()});
    auto const number_of_run = runs_[it.id].size() - 1;
    headers.emplace_back("Response-Seal", "seal-" + name);
    if (!streams(it))
        return after(it.work, [this, it, headers, out, number_of_run] {
            out->send(200, headers, answer_to(it));
            end_run(it.id, number_of_run);
        });
    headers.emplace_back("Content-Type", "text/event-stream");
    out->start(200, headers);
    send_events(it, it.after + 1, number_of_run, out);
}

void runners::send_events(wish const& it, int from, std::size_t number_of_run,
                          runtime::responder_ptr const& out)
{
    if (from > it.size) {
        out->finish();
        return end_run(it.id, number_of_run);
    }
    after(it.work, [this, it, from, number_of_run, out] {
        int const to = from + std::min(burst_of(it), it.size - from + 1);
        std::string events;
        for (int n = from; n < to; ++n)
            events += event(it, n);
        out->write(std::move(events),
                   [this, it, to, number_of_run, out](auto ec) {
                       if (ec)
                           end_run(it.id, number_of_run);
                       else
                           send_events(it, to, number_of_run, out);
                   });
    });
}

void runners::after(milliseconds delay, std::function<void()> action)
{
    auto const timer = std::make_shared<asio::steady_timer>(io_, delay);
    timer->async_wait([timer, action = std::move(action)](auto ec) {
        if (!ec)
            action();
    });
}

void runners::end_run(std::string const& id, std::size_t number)
{
    std::scoped_lock const lock(mutex_);
    runs_[id][number].ended = clock::now();
}

} // namespace papayahook::soak
