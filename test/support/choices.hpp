// Generated sequences of choices for rapidcheck.
#pragma once

#include "support/world.hpp"

#include <ostream>
#include <rapidcheck.h>

namespace papayahook::support {

inline std::ostream& operator<<(std::ostream& out, choice const& it)
{
    return out << it.what << '/' << it.which;
}

} // namespace papayahook::support

namespace rc {

template <>
struct Arbitrary<papayahook::support::choice>
{
    static Gen<papayahook::support::choice> arbitrary()
    {
        using papayahook::support::choice;
        constexpr int most = 1000;
        return gen::build<choice>(
            gen::set(&choice::what, gen::inRange(0, most)),
            gen::set(&choice::which, gen::inRange(0, most)));
    }
};

} // namespace rc
