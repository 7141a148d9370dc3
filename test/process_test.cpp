// The whole path in separate processes, and its failures.
#include "support/client.hpp"
#include "support/fleet.hpp"

#include <catch2/catch.hpp>

using namespace papayahook;
using namespace papayahook::support;

TEST_CASE("a streamed answer comes whole through a node")
{
    auto f = start_fleet({});
    auto const it = run_call(completion(f.node(0).caller, test_key, "chat",
                                        "hello there", 20, true));
    CHECK(stream_fault(it, 20).empty());
}

TEST_CASE("an order sent twice through two nodes runs once")
{
    auto f = start_fleet({});
    auto const a = order(f.node(0).caller, test_key, "orders", "kit-1", "k1");
    auto const b = order(f.node(1).caller, test_key, "orders", "kit-1", "k1");
    auto const got = run_calls({a, b});
    CHECK(got[0].status == 200);
    CHECK(got[1].status == 200);
    CHECK(got[0].body == got[1].body);
    CHECK(times_run(f, "kit-1") == 1);
}
