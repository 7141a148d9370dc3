// Tests that the parts of a node are destroyed in an order in which none uses
// a part that is already destroyed.
#include "runtime/node.hpp"

#include <catch2/catch.hpp>

using namespace papayahook;

namespace {

// Records the shutdown of the event loop. It is shut down before all other
// services of the loop.
struct shutdown_observer : asio::execution_context::service
{
    using key_type = shutdown_observer;
    static inline asio::execution_context::id id;

    shutdown_observer(asio::execution_context& it, bool& ended_flag)
        : service(it), ended(ended_flag)
    {
    }
    void shutdown() override { ended = true; }

    bool& ended;
};

struct recording_adapter final : runtime::adapter
{
    recording_adapter(bool const& ended, bool& destroyed_late)
        : loop_ended(ended), destroyed_after_loop(destroyed_late)
    {
    }
    ~recording_adapter() override { destroyed_after_loop = loop_ended; }
    void open(runtime::node&) override {}
    void start(runtime::node&) override {}
    void reload(runtime::node&) override {}
    bool perform(runtime::node&, core::effect const&) override { return true; }

    bool const& loop_ended;
    bool& destroyed_after_loop;
};

} // namespace

TEST_CASE(
    "a planned stop destroys the adapter's timers before their event loop")
{
    bool loop_ended = false;
    bool destroyed_after_loop = false;
    {
        runtime::node n({}, std::make_unique<recording_adapter>(
                                loop_ended, destroyed_after_loop));
        asio::make_service<shutdown_observer>(n.io, loop_ended);
    }
    CHECK(loop_ended);
    CHECK_FALSE(destroyed_after_loop);
}
