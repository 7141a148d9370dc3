// Prepares the signals of a program before its static initialisers run, some of
// which start threads. A source of each program: a linker would drop it from a
// static library.
#include "runtime/blocked_signals.hpp"

namespace {

using initialiser = void (*)();

void prepare_signals()
{
    std::signal(SIGPIPE, SIG_IGN);
    papayahook::runtime::block_signals();
}

[[gnu::section(".preinit_array"),
  gnu::used]] initialiser const prepare_signals_first = &prepare_signals;

} // namespace
