// Acts in the order of their times, then in the order in which they were
// asked for: the clock of the benches that feed reducers.
#pragma once

#include "papayahook/papayahook.hpp"

#include <functional>
#include <map>

namespace papayahook::bench {

struct schedule
{
    static constexpr core::time_point start{std::chrono::hours(1)};

    double now = 0; // seconds
    std::multimap<double, std::function<void()>> acts;

    void at(double when, std::function<void()> act)
    {
        acts.emplace(when, std::move(act));
    }
    void run_until(double end)
    {
        while (!acts.empty() && acts.begin()->first < end) {
            auto const it = acts.extract(acts.begin());
            now = it.key();
            it.mapped()();
        }
        now = end;
    }
    core::time_point time() const
    {
        return start + std::chrono::duration_cast<core::duration>(
                           std::chrono::duration<double>(now));
    }
};

} // namespace papayahook::bench
