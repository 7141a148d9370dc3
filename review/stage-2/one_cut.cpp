// The holder of the duties is cut off from the platform for four seconds.
#include "duty.hpp"

using namespace rig;

int main()
{
    constexpr double cut_s = 4.0;
    constexpr int max_cuts = 5;
    deployment d(3);
    d.start_all();
    if (!wait_for(20, [&] { return d.api.calls().size() > 6; }))
        give_up("no node acts");
    sleep_s(6);
    for (int n = 0; n < max_cuts && !d.lower_token(); ++n) {
        auto const name = d.holder_now();
        auto* const holder = d.named(name);
        if (holder == nullptr)
            give_up("unknown holder");
        // A cut that begins shortly after a call of the holder.
        auto const seen = d.api.calls().size();
        wait_for(8, [&] { return d.api.calls().size() > seen; });
        sleep_s(0.3);
        if (d.holder_now() != name)
            continue;
        if (with_trouble()) {
            note("script  %s is cut off from the store and the API",
                 name.c_str());
            holder->to_store->cut();
            holder->to_api->cut();
        }
        sleep_s(cut_s);
        if (with_trouble()) {
            d.heals.push_back(now_s());
            holder->to_store->heal();
            holder->to_api->heal();
            note("script  the cut of %s has ended", name.c_str());
        }
        sleep_s(6);
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
    if (!d.heals.empty())
        note("script  the call arrived %.0f ms after the end of the last cut",
             1000 * (late.at - d.heals.back()));
    finish(1);
}
