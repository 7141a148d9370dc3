// What the core learns of an effect that could not be carried out.
#include "runtime/node.hpp"

namespace papayahook::runtime {

namespace {

// A message that is missing on a link would be missing for good: both sides
// begin anew with another link.
void report_failure(node& n, core::send_peer const& it, std::string const&)
{
    n.links->close(it.link);
}

void report_failure(node& n, core::dial_peer const& it, std::string const&)
{
    handle(n, core::dial_failed{it.node});
}

void report_failure(node& n, core::dispatch const& it, std::string const& why)
{
    handle(n, core::call_failed{it.call, core::step::send, false,
                                "not sent: " + why});
}

// The caller gets no whole answer any more. Its connection ends, and so does
// the work for it.
void end_caller(node& n, core::request_id const& id, std::string const& why)
{
    perform_effect(n, core::fail_answer{id,
                                        {502, core::outcome::outcome_unknown,
                                         core::step::answer, "", why,
                                         std::chrono::seconds(0)}});
    handle(n, core::caller_gone{id});
}

void report_failure(node& n, core::send_head const& it, std::string const& why)
{
    end_caller(n, it.id, why);
}

void report_failure(node& n, core::send_chunk const& it, std::string const& why)
{
    end_caller(n, it.id, why);
}

void report_failure(node& n, core::finish_answer const& it,
                    std::string const& why)
{
    end_caller(n, it.id, why);
}

void report_failure(node& n, core::relay const& it, std::string const& why)
{
    end_caller(n, it.id, why);
    handle(n, core::relay_ended{it.id});
}

void report_failure(node& n, core::append const& it, std::string const&)
{
    handle(n, core::append_done{it.append, false, false});
}

void report_failure(node& n, core::append_duty const&, std::string const&)
{
    handle(n, core::duty_append_done{false});
}

void report_failure(node& n, core::report_usage const& it, std::string const&)
{
    handle(n, core::usage_reported{it.report.window, false});
}

void report_failure(node& n, core::order_endpoints const& it,
                    std::string const& why)
{
    handle(n, core::endpoints_ordered{it.pool, it.zone, it.reclaimable,
                                      it.count, false, why});
}

void report_failure(node& n, core::report_pool_move const& it,
                    std::string const&)
{
    handle(n, core::pool_move_reported{it.move, false});
}

void report_failure(node& n, core::check_endpoint const& it, std::string const&)
{
    handle(n, core::endpoint_checked{it.endpoint, it.incarnation, false});
}

// The regular ticks go on.
void report_failure(node& n, core::wake const&, std::string const&)
{
    n.wake_at.reset();
}

// The core waits for nothing of these. What ends an answer is not repeated:
// the responder has closed the connection.
void report_failure(node&, core::refuse const&, std::string const&) {}
void report_failure(node&, core::fail_answer const&, std::string const&) {}
void report_failure(node&, core::cancel_call const&, std::string const&) {}
void report_failure(node&, core::pause_call const&, std::string const&) {}
void report_failure(node&, core::resume_call const&, std::string const&) {}
void report_failure(node&, core::close_peer const&, std::string const&) {}
void report_failure(node&, core::follow_store const&, std::string const&) {}
void report_failure(node&, core::announce_node const&, std::string const&) {}
void report_failure(node&, core::cancel_duty_calls const&, std::string const&)
{
}
void report_failure(node&, core::log_event const&, std::string const&) {}
void report_failure(node&, core::exit_process const&, std::string const&) {}

} // namespace

void report_failed_effect(node& n, core::effect const& effect,
                          std::string const& why)
{
    std::visit([&](auto const& it) { report_failure(n, it, why); }, effect);
}

} // namespace papayahook::runtime
