// papayahookctl, the command-line tool of operators.
#include "codec/config_file.hpp"
#include "codec/json.hpp"
#include "codec/text.hpp"
#include "ctl/log_view.hpp"
#include "runtime/http_client.hpp"

#include <algorithm>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

namespace {

using namespace papayahook;
using namespace std::chrono_literals;
using nlohmann::json;

constexpr int exit_failed = 1;
constexpr int exit_usage_error = 2;
constexpr auto watch_period = 200ms;

constexpr char const* commands = R"(
Commands
  check FILE              check a file of configuration records
  publish FILE            publish its records; says which were accepted
  remove FILE             take the records named in the file out of force
  get [KIND [NAME]]       what is in force, from the log
  history                 all records that the log holds, with verdicts
  watch move NAME         follow a version move to its end
  state                   whole dump of a node (--node)
  explain SUBJECT         why a node decided: request, move or endpoint
  replay FILE             recorded events to effects, one JSON line each
  digest KEY              digest of a caller's key, for key_digests
)";

struct options
{
    std::string log;
    std::string node;
    bool as_json = false;
    std::vector<std::string> words;
};

core::time_point wall_now()
{
    return std::chrono::time_point_cast<core::duration>(
        std::chrono::system_clock::now());
}

ctl::log_view read_view(options const& o)
{
    if (o.log.empty())
        throw std::invalid_argument("--log IP:PORT is required");
    ctl::log_view view;
    view.address = o.log;
    ctl::refresh(view);
    return view;
}

int check(options const& o)
{
    auto const bodies = codec::read_config_file(o.words.at(1), wall_now());
    std::cout << o.words.at(1) << ": " << bodies.size() << " records, sound\n";
    return 0;
}

int publish(options const& o, bool remove)
{
    auto const bodies = codec::read_config_file(o.words.at(1), wall_now());
    auto view = read_view(o);
    auto const results = ctl::publish(view, bodies, remove);
    auto list = json::array();
    for (auto const& it : results) {
        list.push_back({{"record", it.name},
                        {"accepted", it.accepted},
                        {"unchanged", it.unchanged},
                        {"offset", it.at},
                        {"reason", it.reason}});
        if (o.as_json)
            continue;
        std::cout << it.name << ": "
                  << (it.unchanged  ? "unchanged"
                      : it.accepted ? "accepted at " + std::to_string(it.at)
                                    : "refused: " + it.reason)
                  << '\n';
    }
    if (o.as_json)
        std::cout << list.dump(2) << '\n';
    bool const all_accepted =
        std::ranges::all_of(results, &ctl::publish_result::accepted);
    return all_accepted ? 0 : exit_failed;
}

int get(options const& o)
{
    auto const view = read_view(o);
    auto out = json::parse(codec::config_to_json(view.config));
    for (std::size_t i = 1; i < o.words.size(); ++i) {
        auto key = o.words[i];
        if (i == 1)
            key += "s";
        if (!out.contains(key)) {
            std::cerr << "papayahookctl: not in force: " << o.words[i] << '\n';
            return exit_failed;
        }
        out = json(out.at(key));
    }
    std::cout << out.dump(2) << '\n';
    return 0;
}

int history(options const& o)
{
    auto const view = read_view(o);
    auto list = json::array();
    for (auto const& entry : view.entries) {
        auto const* const rec = std::get_if<core::config_record>(&entry.record);
        if (rec == nullptr)
            continue;
        auto const verdict = std::ranges::find(view.config.verdicts, entry.at,
                                               &core::record_verdict::at);
        bool const known = verdict != view.config.verdicts.end();
        auto const name =
            core::record_kind(rec->body) + "/" + core::record_name(rec->body);
        auto const verdict_text = !known ? std::string("verdict not held")
                                  : verdict->accepted
                                      ? std::string("accepted")
                                      : "refused: " + verdict->reason;
        if (o.as_json)
            list.push_back({{"offset", entry.at},
                            {"record", name},
                            {"replaces", rec->replaces},
                            {"verdict", verdict_text}});
        else
            std::cout << entry.at << ' ' << name << " follows " << rec->replaces
                      << ": " << verdict_text << '\n';
    }
    if (o.as_json)
        std::cout << list.dump(2) << '\n';
    return 0;
}

int watch(options const& o)
{
    if (o.words.size() != 3 || o.words[1] != "move")
        throw std::invalid_argument("watch move NAME is expected");
    auto view = read_view(o);
    int shown_stage = -1;
    for (;;) {
        auto const it = view.config.moves.find(o.words[2]);
        if (it == view.config.moves.end()) {
            std::cerr << "papayahookctl: no move " << o.words[2] << '\n';
            return exit_failed;
        }
        auto const& m = it->second;
        if (m.stage != shown_stage && !o.as_json)
            std::cout << "stage " << m.stage << '\n';
        shown_stage = m.stage;
        if (m.end) {
            if (o.as_json)
                std::cout << json{{"move", o.words[2]},
                                  {"end", core::to_string(*m.end)},
                                  {"stage", m.stage},
                                  {"reason", m.reason}}
                                 .dump()
                          << '\n';
            else
                std::cout << core::to_string(*m.end) << ": " << m.reason
                          << '\n';
            return *m.end == core::move_end::finished ? 0 : exit_failed;
        }
        std::this_thread::sleep_for(watch_period);
        ctl::refresh(view);
    }
}

int print_from_node(options const& o, std::string const& path)
{
    if (o.node.empty())
        throw std::invalid_argument("--node IP:PORT (admin) is required");
    runtime::http_call call;
    call.url = "http://" + o.node + path;
    call.total_timeout = 5s;
    auto const answer = runtime::fetch(std::move(call));
    if (answer.result.error || answer.result.status != 200) {
        std::cerr << "papayahookctl: node " << o.node << ": "
                  << (answer.result.error
                          ? answer.result.error.message()
                          : "status " + std::to_string(answer.result.status))
                  << '\n';
        return exit_failed;
    }
    std::cout << answer.body << '\n';
    return 0;
}

int replay(options const& o)
{
    std::ifstream in(o.words.at(1));
    std::string line;
    if (!std::getline(in, line))
        throw std::invalid_argument(o.words.at(1) + ": cannot be read");
    core::node_state state;
    state.settings = codec::settings_from_line(line);
    while (std::getline(in, line)) {
        core::effects out;
        core::reduce(state, codec::event_from_line(line), out);
        for (auto const& it : out)
            std::cout << codec::effect_to_line(it) << '\n';
    }
    return 0;
}

int run(options const& o)
{
    auto const& command = o.words.front();
    bool const needs_argument =
        command != "get" && command != "history" && command != "state";
    if (needs_argument && o.words.size() < 2)
        throw std::invalid_argument(command + ": one more word is expected");
    if (command == "check")
        return check(o);
    if (command == "publish" || command == "remove")
        return publish(o, command == "remove");
    if (command == "get")
        return get(o);
    if (command == "history")
        return history(o);
    if (command == "watch")
        return watch(o);
    if (command == "state")
        return print_from_node(o, "/state");
    if (command == "explain")
        return print_from_node(o, "/explain?subject=" +
                                      codec::percent_encoded(o.words[1]));
    if (command == "replay")
        return replay(o);
    if (command == "digest") {
        std::cout << codec::sha256(o.words[1]) << '\n';
        return 0;
    }
    throw std::invalid_argument("unknown command " + command);
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options parser("papayahookctl", "Operators' command line");
    parser.positional_help("COMMAND [WORDS]");
    parser.add_options()("log", "address of the platform's log",
                         cxxopts::value<std::string>()->default_value(""))(
        "node", "admin address of a node",
        cxxopts::value<std::string>()->default_value(""))("json", "print JSON")(
        "help", "print this text")("words", "",
                                   cxxopts::value<std::vector<std::string>>());
    parser.parse_positional({"words"});
    try {
        auto const args = parser.parse(argc, argv);
        if (args.count("help") != 0 || args.count("words") == 0) {
            std::cout << parser.help() << commands;
            return args.count("help") != 0 ? 0 : exit_usage_error;
        }
        return run({args["log"].as<std::string>(),
                    args["node"].as<std::string>(), args.count("json") != 0,
                    args["words"].as<std::vector<std::string>>()});
    }
    catch (codec::config_error const& e) {
        std::cerr << e.what() << '\n';
        return exit_usage_error;
    }
    catch (std::runtime_error const& e) {
        std::cerr << "papayahookctl: " << e.what() << '\n';
        return exit_failed;
    }
    catch (std::exception const& e) {
        std::cerr << "papayahookctl: " << e.what() << '\n';
    }
    return exit_usage_error;
}
