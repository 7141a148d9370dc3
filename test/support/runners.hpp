// Simulates model runners under a fabric of nodes: runners answer, end, and
// come back as new incarnations at the same names.
#pragma once

#include "support/fabric.hpp"

#include <random>

namespace papayahook::support {

struct simulated_runner
{
    int incarnation = 1;
    core::time_point back_at{}; // down before
};

struct simulated_call
{
    std::size_t node = 0;
    core::dispatch what;
    core::time_point started{};
    bool answering = false;
};

// A request as its caller sees it.
struct simulated_request
{
    std::size_t node = 0;
    std::vector<std::uint64_t> parts;
    core::time_point sent{};
    int calls = 0;
    bool answered = false;
    std::optional<core::refusal> refused; // also after the answer had begun
};

struct runner_site
{
    fabric f;
    std::map<std::string, simulated_runner> runners;
    std::vector<simulated_call> calls;
    std::map<core::request_id, simulated_request> requests;
    // Parts that end each runner that begins to answer a prompt with them.
    std::set<std::uint64_t> ending_parts;
    std::vector<core::time_point> ends; // times at which runners ended
    // Times at which requests with an ending part reached a runner.
    std::vector<core::time_point> ending_calls;
    // Time until a node knows whether an endpoint accepts connections.
    std::chrono::milliseconds check_time{0};
    struct open_check
    {
        std::size_t node = 0;
        core::check_endpoint what;
        core::time_point due{};
    };
    std::vector<open_check> checks;
    std::mt19937 random;
    int next_request = 1;
};

// Makes linked nodes with runners "r0", "r1", ... of one pool.
runner_site make_runner_site(std::size_t nodes, std::size_t runners,
                             unsigned seed = 1, int max_attempts = 2);

// Sends a request of route "chat". The prompt has these parts and one of its
// own.
core::request_id ask(runner_site& s, std::size_t node,
                     std::vector<std::uint64_t> const& parts);

// The runner ends: its calls break off at all nodes. It is back as a new
// incarnation after `away`.
void end_runner(runner_site& s, std::string name,
                std::chrono::milliseconds away);

// Lets time pass in steps of 50 ms.
void run(runner_site& s, std::chrono::milliseconds time);

} // namespace papayahook::support
