// Regenerates the golden sessions: golden_writer FOLDER. A difference from the
// committed files is a change of behaviour, whose reason belongs in the commit
// message.
#include "codec/json.hpp"
#include "support/world.hpp"

#include <fstream>
#include <iostream>

namespace {

using namespace papayahook;
using namespace papayahook::support;
using namespace std::chrono_literals;

void write(std::string const& folder, std::string const& name, world const& w,
           std::size_t node)
{
    std::ofstream events(folder + "/" + name + ".events");
    std::ofstream effects(folder + "/" + name + ".effects");
    core::node_state state;
    state.settings = w.nodes[node].settings;
    events << codec::settings_to_line(state.settings) << '\n';
    for (auto const& [to, e] : w.given) {
        if (to != node)
            continue;
        events << codec::event_to_line(e) << '\n';
        core::effects out;
        core::reduce(state, e, out);
        for (auto const& it : out)
            effects << codec::effect_to_line(it) << '\n';
    }
}

void link(world& w)
{
    give(w, 0, core::peer_opened{2});
    give(w, 1, core::peer_opened{1});
    while (!w.messages.empty())
        deliver_message(w, 0);
}

void run_four_rounds(world& w)
{
    for (int i = 0; i < 4; ++i) {
        while (!w.appends.empty())
            take_append(w, 0, true);
        while (!w.dispatches.empty())
            run_dispatch(w, 0, true, false);
        read_log(w, 0);
        read_log(w, 1);
        pass_time(w, 60ms);
    }
}

world doubled_order()
{
    auto w = make_world(2);
    ask_order(w, 0, "k");
    ask_order(w, 1, "k");
    run_four_rounds(w);
    return w;
}

world resumed_stream()
{
    auto w = make_world(1);
    ask_chat(w, 0);
    give(w, 0, core::answer_head{1, 200, "text/event-stream"});
    for (auto const index : {0, 2, 1, 1})
        give(w, 0,
             core::answer_chunk{1, static_cast<std::uint64_t>(index),
                                "t" + std::to_string(index)});
    give(w, 0, core::call_failed{1, core::step::receive, true, "cut"});
    give(w, 0, core::answer_chunk{1, 3, "late"});
    give(w, 0, core::answer_head{2, 200, "text/event-stream"});
    give(w, 0, core::answer_chunk{2, 3, "t3"});
    give(w, 0, core::answer_end{2, 4});
    return w;
}

world vetoed_move()
{
    auto w = make_world(2);
    link(w);
    core::version_move m;
    m.name = "m";
    m.route = "chat";
    m.to = "v2";
    m.deadline = w.now + 60s;
    auto const started = publish(w, m);
    read_log(w, 0);
    read_log(w, 1);
    core::news item;
    item.vetoes.push_back({"m", started, "seen bad"});
    give(w, 0, core::peer_received{2, item});
    while (!w.messages.empty())
        deliver_message(w, 0);
    for (int i = 0; i < 4; ++i) {
        pass_time(w, 600ms);
        while (!w.appends.empty())
            take_append(w, 0, true);
        read_log(w, 0);
        read_log(w, 1);
    }
    return w;
}

world started_in_outage()
{
    auto w = make_world(2);
    restart(w, 0);
    w.given.clear();
    give(w, 0, core::log_reachable{false});
    link(w);
    pass_time(w, 1s);
    while (!w.messages.empty())
        deliver_message(w, 0);
    ask_order(w, 0, "k");
    ask_chat(w, 0);
    return w;
}

world refusals()
{
    auto w = make_world(1);
    core::request_arrived it;
    it.id = "n1.1.a";
    it.key_digest = "wrong";
    it.route = "chat";
    give(w, 0, it);
    it.id = "n1.1.b";
    it.key_digest = "key";
    it.route = "none";
    give(w, 0, it);
    ask_order(w, 0, "");
    run_dispatch(w, 0, false, false);
    ask_chat(w, 0);
    give(w, 0, core::shutdown_requested{});
    ask_chat(w, 0);
    give(w, 0, core::answer_head{2, 200, "text/event-stream"});
    give(w, 0, core::answer_chunk{2, 0, "t0"});
    give(w, 0, core::answer_end{2, 1});
    pass_time(w, 50ms);
    return w;
}

// A leaving node hands over a stream in progress and the answer of a job.
world handed_over()
{
    auto w = make_world(2);
    link(w);
    ask_chat(w, 0);
    give(w, 0, core::answer_head{1, 200, "text/event-stream"});
    give(w, 0, core::answer_chunk{1, 0, "t0"});
    core::request_arrived job;
    job.id = "n1.1.job";
    job.key_digest = "key";
    job.route = "chat";
    job.model = true;
    job.keep = true;
    give(w, 0, job);
    give(w, 0, core::caller_gone{job.id});
    give(w, 0, core::answer_head{2, 200, "text/event-stream"});
    give(w, 0, core::answer_chunk{2, 0, "t0"});
    give(w, 0, core::answer_end{2, 1});
    give(w, 0, core::shutdown_requested{});
    pass_time(w, 1s);
    deliver_all_messages(w);
    give(w, 1, core::answer_head{1, 200, "text/event-stream"});
    give(w, 1, core::answer_chunk{1, 1, "t1"});
    give(w, 1, core::answer_end{1, 2});
    give(w, 1, core::reattach{job.id, 0});
    give(w, 0, core::relay_ended{"n1.1.1"});
    pass_time(w, 1s);
    return w;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 2) {
        std::cerr << "golden_writer FOLDER\n";
        return 2;
    }
    std::string const folder = argv[1];
    write(folder, "doubled-order-first", doubled_order(), 0);
    write(folder, "doubled-order-second", doubled_order(), 1);
    write(folder, "resumed-stream", resumed_stream(), 0);
    write(folder, "vetoed-move", vetoed_move(), 0);
    write(folder, "started-in-outage", started_in_outage(), 0);
    write(folder, "refusals-and-shutdown", refusals(), 0);
    write(folder, "handed-over-leaving", handed_over(), 0);
    write(folder, "handed-over-successor", handed_over(), 1);
    return 0;
}
