// Fake of a plain service that runs orders and counts the runs of each.
//
//   POST /... {"order": "NAME"} -> {"order", "times_run"}
//   POST /fault {"lose_answers", "work_ms", "refuse", "fail_rate", "leaving"}
//   GET  /counts -> {"NAME": times}
#include "fakes/common.hpp"

#include <map>

namespace papayahook::fakes {

namespace {

struct order_service
{
    asio::io_context& io;
    std::chrono::milliseconds work;
    std::map<std::string, int> runs;
    int lose_answers = 0; // next orders that run without an answer
    bool refuse = false;  // answers 503 "not run"
    double fail_rate = 0; // answers 500 after running
    bool leaving = false;
    int running = 0;
    std::uint64_t accepted = 0;
};

void set_faults(order_service& d, json const& body)
{
    d.lose_answers = body.value("lose_answers", d.lose_answers);
    d.refuse = body.value("refuse", d.refuse);
    d.fail_rate = body.value("fail_rate", d.fail_rate);
    d.leaving = body.value("leaving", d.leaving);
    d.work = std::chrono::milliseconds(
        body.value("work_ms", static_cast<long>(d.work.count())));
}

runtime::header_list load_headers(order_service const& d)
{
    runtime::header_list out;
    if (d.leaving)
        out.emplace_back("X-Leaving", "1");
    return out;
}

void finish_order(order_service& d, std::string const& name,
                  responder_ptr const& out)
{
    d.running--;
    auto const times = ++d.runs[name];
    if (d.lose_answers > 0) {
        d.lose_answers--;
        drop(out);
        return;
    }
    // Spreads failures evenly, so that every run has the same share.
    bool const fails = static_cast<std::uint64_t>(
                           static_cast<double>(d.accepted) * d.fail_rate) !=
                       static_cast<std::uint64_t>(
                           static_cast<double>(d.accepted - 1) * d.fail_rate);
    send_json(out, fails ? 500 : 200, {{"order", name}, {"times_run", times}},
              load_headers(d));
}

void on_order(order_service& d, http_request const& in,
              responder_ptr const& out)
{
    if (d.refuse) {
        auto headers = load_headers(d);
        headers.emplace_back("X-Not-Run", "1");
        send_json(out, 503, {{"error", "not run"}}, headers);
        return;
    }
    d.running++;
    d.accepted++;
    auto const name = parse_body(in).value("order", "");
    after(d.io, d.work, [&d, name, out] { finish_order(d, name, out); });
}

} // namespace

void run_orders(asio::io_context& io, orders_options const& options)
{
    order_service d{io, options.work, {}, 0, false, 0, false, 0, 0};
    serve(io, options.listen,
          [&d](http_request const& in, responder_ptr const& out) {
              if (in.path == "/fault") {
                  set_faults(d, parse_body(in));
                  send_json(out, 200, json::object());
              }
              else if (in.path == "/counts") {
                  send_json(out, 200, json(d.runs));
              }
              else if (in.path == "/load") {
                  send_json(out, 200,
                            {{"running", d.running},
                             {"waiting", 0},
                             {"leaving", d.leaving}});
              }
              else {
                  on_order(d, in, out);
              }
          });
}

} // namespace papayahook::fakes
