// papayahook-fakes: fakes of the platform's services and of endpoints.
#include "fakes/common.hpp"

#include <cxxopts.hpp>
#include <iostream>

namespace papayahook::fakes {

void serve(asio::io_context& io, listen_address const& listen,
           runtime::http_server::handler handler)
{
    constexpr std::chrono::hours idle{24};
    runtime::http_server_options options;
    options.address = listen.ip;
    options.port = listen.port;
    options.max_body_bytes = 64 * 1024 * 1024;
    options.max_connections = 65'536;
    options.idle_timeout = idle;
    runtime::http_server server(io, options, std::move(handler));
    io.run();
}

void after(asio::io_context& io, std::chrono::microseconds delay,
           std::function<void()> act)
{
    auto timer = std::make_shared<asio::steady_timer>(io, delay);
    timer->async_wait([timer, act = std::move(act)](auto ec) {
        if (!ec)
            act();
    });
}

void send_json(responder_ptr const& out, int status, json const& body,
               runtime::header_list extra)
{
    extra.emplace_back("Content-Type", "application/json");
    out->send(status, extra, body.dump());
}

json parse_body(http_request const& in)
{
    auto out = json::parse(in.body.get(), nullptr, false);
    return out.is_object() ? out : json::object();
}

void drop(responder_ptr const& out)
{
    out->start(200, {});
    out->abort();
}

} // namespace papayahook::fakes

int main(int argc, char** argv)
{
    using namespace papayahook::fakes;
    cxxopts::Options options("papayahook-fakes",
                             "Fakes: runner, orders, log or instances");
    options.add_options()("kind", "runner, orders, log, instances",
                          cxxopts::value<std::string>())(
        "listen", "ip:port", cxxopts::value<std::string>())(
        "name", "name", cxxopts::value<std::string>()->default_value("fake"))(
        "slots", "requests at once",
        cxxopts::value<int>()->default_value("16"))(
        "first-token-ms", "time to the first token",
        cxxopts::value<int>()->default_value("20"))(
        "gap-us", "time between tokens",
        cxxopts::value<int>()->default_value("10000"))(
        "prefill-us", "time per uncached token",
        cxxopts::value<int>()->default_value("100"))(
        "crash-on", "exit on a prompt with this text",
        cxxopts::value<std::string>()->default_value(""))(
        "crash-ms", "time from the end of its connections to its exit",
        cxxopts::value<int>()->default_value("0"))(
        "work-ms", "time of one order",
        cxxopts::value<int>()->default_value("5"))(
        "retention", "entries kept per stream",
        cxxopts::value<std::size_t>()->default_value("1000000"));
    options.parse_positional({"kind"});
    try {
        auto const args = options.parse(argc, argv);
        auto const kind = args["kind"].as<std::string>();
        auto const text = args["listen"].as<std::string>();
        auto const colon = text.rfind(':');
        listen_address const listen{
            text.substr(0, colon),
            static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1)))};
        asio::io_context io;
        if (kind == "runner")
            run_runner(
                io,
                {listen, args["name"].as<std::string>(),
                 args["slots"].as<int>(),
                 std::chrono::milliseconds(args["first-token-ms"].as<int>()),
                 std::chrono::microseconds(args["gap-us"].as<int>()),
                 std::chrono::microseconds(args["prefill-us"].as<int>()),
                 args["crash-on"].as<std::string>(),
                 std::chrono::milliseconds(args["crash-ms"].as<int>())});
        else if (kind == "orders")
            run_orders(io, {listen, std::chrono::milliseconds(
                                        args["work-ms"].as<int>())});
        else if (kind == "log")
            run_log(io, {listen, args["retention"].as<std::size_t>()});
        else if (kind == "instances")
            run_instances(io, listen);
        else
            throw std::invalid_argument("unknown kind " + kind);
    }
    catch (std::exception const& e) {
        std::cerr << "papayahook-fakes: " << e.what() << '\n';
        return 2;
    }
    return 0;
}
