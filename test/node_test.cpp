// A node's parts end in an order in which none uses what has ended.
#include "runtime/node.hpp"

#include <catch2/catch.hpp>

using namespace papayahook;

namespace {

// Ends with the loop, before any of the loop's other services.
struct loop_end : asio::execution_context::service
{
    using key_type = loop_end;
    static inline asio::execution_context::id id;

    loop_end(asio::execution_context& it, bool& seen) : service(it), ended(seen)
    {
    }
    void shutdown() override { ended = true; }

    bool& ended;
};

struct watching_adapter final : runtime::adapter
{
    watching_adapter(bool const& ended, bool& used)
        : loop_ended(ended), used_after(used)
    {
    }
    ~watching_adapter() override { used_after = loop_ended; }
    void start(runtime::node&) override {}
    void reload(runtime::node&) override {}
    bool perform(runtime::node&, core::effect const&) override { return true; }

    bool const& loop_ended;
    bool& used_after;
};

} // namespace

TEST_CASE("a planned stop ends the adapter's timers before their loop")
{
    bool loop_ended = false;
    bool used_after = false;
    {
        runtime::node n(
            {}, std::make_unique<watching_adapter>(loop_ended, used_after));
        asio::make_service<loop_end>(n.io, loop_ended);
    }
    CHECK(loop_ended);
    CHECK_FALSE(used_after);
}
