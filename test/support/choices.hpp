// Lets rapidcheck generate and print sequences of choices.
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
        constexpr int max_choice = 1000;
        return gen::build<choice>(
            gen::set(&choice::what, gen::inRange(0, max_choice)),
            gen::set(&choice::which, gen::inRange(0, max_choice)));
    }
};

} // namespace rc
