// The holder of the duties is stopped by SIGTERM while a call of it is on its
// way: the call's opening packet was lost, and TCP sends it again after 1 s.
#include "duty.hpp"

using namespace rig;

int main()
{
    constexpr int max_stops = 3;
    deployment d(3);
    d.api.none_available = false;
    d.start_all();
    if (!wait_for(25, [&] { return d.api.calls().size() > 6; }))
        give_up("no node acts");
    for (int n = 0; n < max_stops && !d.lower_token(); ++n) {
        auto const name = d.holder_now();
        auto* const holder = d.named(name);
        if (holder == nullptr)
            give_up("unknown holder");
        // The next connection that the holder opens to the API.
        int const before = holder->to_api->opened;
        if (with_trouble())
            holder->to_api->lose_openings = 1;
        if (!wait_for(12, [&] { return holder->to_api->opened > before; }))
            continue;
        sleep_s(0.1);
        note("script  SIGTERM to %s", name.c_str());
        kill(holder->self.pid, SIGTERM);
        wait_for(9, [&] { return ended(holder->self).has_value(); });
        sleep_s(1);
        holder->self.first_start = false;
        write_settings(holder->self, holder->to_store->at, holder->to_api->at,
                       "usage,autoscale");
        start(holder->self);
        sleep_s(5);
    }
    auto const broken = d.lower_token();
    if (!broken) {
        note("script  no call had a lower token than an earlier one");
        finish(0);
    }
    auto const& [late, top] = *broken;
    note("script  BROKEN: %s with token %ld of %s at %.3f, after token %ld of "
         "%s at %.3f",
         late.subject.c_str(), late.token, late.holder.c_str(), late.at,
         top.token, top.holder.c_str(), top.at);
    finish(1);
}
