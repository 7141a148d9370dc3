// What a soak draws by its seed, and text of what it reports.
#pragma once

#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <random>
#include <sstream>
#include <string>

namespace papayahook::soak {

template <class... Parts>
std::string text(Parts const&... parts)
{
    std::ostringstream out;
    out.precision(3);
    out << std::fixed;
    (out << ... << parts);
    return out.str();
}

// The number in an environment variable.
inline std::uint64_t number_from(char const* name, std::uint64_t otherwise)
{
    auto const* const it = std::getenv(name);
    return it != nullptr ? std::stoull(it) : otherwise;
}

class dice
{
public:
    dice(std::uint64_t seed, std::uint64_t stream)
    {
        std::seed_seq all{seed, seed >> 32U, stream};
        engine_.seed(all);
    }
    int below(int n) { return static_cast<int>(engine_() % unsigned(n)); }
    bool chance(int percent) { return below(100) < percent; }
    std::chrono::milliseconds upto(int ms)
    {
        return std::chrono::milliseconds(below(ms + 1));
    }
    std::chrono::milliseconds upto(std::chrono::milliseconds most)
    {
        return upto(static_cast<int>(most.count()));
    }
    template <class T, std::size_t n>
    T const& one_of(T const (&all)[n])
    {
        return all[below(int{n})];
    }

private:
    std::mt19937_64 engine_;
};

} // namespace papayahook::soak
