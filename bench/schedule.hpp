// Simulated clock of the benches that feed reducers. Runs actions in the order
// of their times; those of the same time run in the order of their scheduling.
#pragma once

#include "papayahook/papayahook.hpp"

#include <functional>
#include <map>

namespace papayahook::bench {

struct schedule
{
    static constexpr core::time_point start{std::chrono::hours(1)};

    double now = 0; // seconds
    std::multimap<double, std::function<void()>> actions;

    void at(double when, std::function<void()> action)
    {
        actions.emplace(when, std::move(action));
    }
    void run_until(double end)
    {
        while (!actions.empty() && actions.begin()->first < end) {
            auto const it = actions.extract(actions.begin());
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
