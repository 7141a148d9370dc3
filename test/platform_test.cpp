// Tests of the platform adapter: decoding of the platform's documents,
// requests and settings, and encoding of headers, answers and records.
#include "platform/documents.hpp"
#include "platform/exchange.hpp"
#include "platform/settings.hpp"

#include "codec/event_stream.hpp"
#include "codec/json.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace papayahook;
using namespace papayahook::platform;
using namespace std::chrono_literals;

namespace {

constexpr char const* configuration_text = R"({
  "version": 7,
  "routes": [
    {"name": "r1", "host": "h.example", "path_prefix": "/a/",
     "route_type": "streaming", "timeout_ms": 3000,
     "target_latency_ms": 600, "priority": 0, "service": "s1",
     "attempts": 1, "public": false, "resumable": false},
    {"name": "r2", "host": "h.example", "path_prefix": "/b/",
     "route_type": "idempotent", "timeout_ms": 1500, "attempts": 2,
     "split": [{"service": "s1", "weight": 90},
               {"service": "s2", "weight": 10}]},
    {"name": "r3", "host": "h.example"},
    {"name": "r4", "host": "h.example", "path_prefix": "/d/",
     "route_type": "non_idempotent", "service": "s2", "timeout_ms": "soon"}],
  "services": [
    {"name": "s1", "health_path": "/health", "max_conns": 360,
     "cold_s": 2.5, "cold_per_s": 8,
     "engine": {"kv_capacity_tokens": 370000},
     "scaling": {"min": 1, "max": 12, "boot_s": 4.0, "spot_price": 0.22,
                 "zone_prices": {"z1": 0.85, "z2": "free"}}}, 5],
  "tenants": [{"name": "t1", "api_keys": ["k1", 3], "priority": 1,
               "unit": "token_count", "plain_tokens": 200,
               "rate_per_s": 1000, "burst": 500}],
  "unheard_of": {}
})";

runtime::http_request request()
{
    runtime::http_request out;
    out.method = "POST";
    out.path = "/a/x";
    out.target = "/a/x?y=1";
    out.headers = {{"Host", "h.example"},
                   {"Request-Id", "id-1"},
                   {"Authorization", "Bearer k1"},
                   {"Deadline-Ms", "2500"},
                   {"Model", "m"},
                   {"Token-Count", "1460,80"},
                   {"Prefix-Hash", "5c:800,91:410,e4:250"},
                   {"Last-Event-Id", "12"},
                   {"Tenant", "somebody"},
                   {"hold", "h"},
                   {"Pin-Ms", "4000"},
                   {"Kv-From", "10.0.0.1:1/x"},
                   {"Connection", "close, X-Hop"},
                   {"X-Hop", "1"},
                   {"X-Other", "2"}};
    return out;
}

std::string value_of(runtime::header_list const& headers, char const* name)
{
    return std::string(runtime::header_value(headers, name));
}

bool has(runtime::header_list const& headers, char const* name)
{
    return runtime::header_value(headers, name).data() != nullptr;
}

} // namespace

TEST_CASE("a configuration is decoded and its invalid entries are reported")
{
    std::vector<complaint> skipped;
    auto const it =
        decode_configuration({6, "config", configuration_text}, skipped);
    CHECK(it.applied == 7);
    CHECK_FALSE(it.lists_endpoints);
    REQUIRE(it.routes.size() == 3);
    CHECK(skipped.size() == 2);
    auto const& stream = it.routes[0].value;
    CHECK(stream.streams);
    CHECK_FALSE(stream.repeatable);
    CHECK(stream.cancel_on_disconnect);
    CHECK(stream.deadline == 3s);
    CHECK(stream.first_byte_target == 600ms);
    CHECK(stream.klass == core::priority_class::order);
    auto const& plain = it.routes[1].value;
    CHECK(plain.repeatable);
    CHECK(plain.max_attempts == 2);
    REQUIRE(plain.splits.size() == 2);
    CHECK(plain.splits[1].weight == 10);
    auto const& order = it.routes[2].value;
    CHECK_FALSE(order.repeatable);
    CHECK_FALSE(order.cancel_on_disconnect);
    CHECK(order.deadline == 30s); // wrong type: the default
    REQUIRE(it.pools.size() == 1);
    CHECK(it.pools[0].memory_tokens == 370'000);
    CHECK(it.pools[0].cold_time == 2'500ms);
    CHECK(it.pools[0].cold_rate == 8);
    REQUIRE(it.pools[0].scaling);
    CHECK(it.pools[0].scaling->zone_cost.size() == 1);
    REQUIRE(it.organisations.size() == 1);
    auto const& org = it.organisations[0].value;
    CHECK(org.key_digests == std::vector{codec::sha256("k1")});
    CHECK(org.counts_tokens);
    CHECK(org.quota_rate == 1'000);
}

TEST_CASE("a configuration that is not JSON is reported and changes nothing")
{
    std::vector<complaint> skipped;
    CHECK(decode_configuration({6, "config", "[1"}, skipped).applied == 0);
    CHECK(skipped.size() == 1);
}

TEST_CASE("a runner's entry is decoded, and an invalid one yields no runner")
{
    auto const text = [](std::string const& state) {
        return R"({"service":"s1","address":"10.1.0.9:80","zone":"z1",)"
               R"("version":"v1","slots":64,"born":1768722342030,)"
               R"("models":[{"name":"m"}],"spot":true,"state":")" +
               state + R"(","sequence":4,"cold_left_ms":1200})";
    };
    complaint skipped;
    auto it = decode_endpoint({3, "i-1", text("ready")}, skipped);
    CHECK(skipped.empty());
    CHECK(it.at == 4);
    CHECK(it.present);
    CHECK_FALSE(it.draining);
    CHECK(it.value.reclaimable);
    CHECK(it.value.incarnation == "1768722342030");
    CHECK(it.cold_left == 1'200ms);
    CHECK(it.value.kind == core::endpoint_kind::model_runner);
    CHECK(decode_endpoint({4, "i-1", text("draining")}, skipped).draining);
    for (std::string const& bad :
         {text("resting"), std::string("{"), std::string(R"({"service":1})"),
          std::string("\xff\xfe")}) {
        skipped.clear();
        CHECK_FALSE(decode_endpoint({5, "i-1", bad}, skipped).present);
        CHECK_FALSE(skipped.empty());
    }
    for (auto const& [field, odd] :
         std::vector<std::pair<std::string, std::string>>{
             {"\"slots\":64", "\"slots\":1e12"},
             {"\"slots\":64", "\"slots\":2147483647"},
             {"\"slots\":64", "\"slots\":18446744073709551615"},
             {"\"born\":1768722342030", "\"born\":1e300"},
             {":80", ":80000"},
             {":80", ":0"},
             {"10.1.0.9", "somewhere"}}) {
        CAPTURE(odd);
        auto entry = text("ready");
        entry.replace(entry.find(field), field.size(), odd);
        skipped.clear();
        CHECK_FALSE(decode_endpoint({5, "i-1", entry}, skipped).present);
        CHECK_FALSE(skipped.empty());
    }
    skipped.clear();
    CHECK_FALSE(decode_endpoint({5, "i\r\n1", text("ready")}, skipped).present);
    CHECK_FALSE(skipped.empty());
    skipped.clear();
    CHECK_FALSE(decode_endpoint({6, "i-1", ""}, skipped).present);
    CHECK(skipped.empty()); // deleted, not invalid
}

TEST_CASE("a page of records is decoded, and a truncated page is reported")
{
    std::string page(7, '\0');
    page += '\x0a' + std::string(7, '\0') + '\x02';
    page += encode_record("k", "value") + encode_record("gone", "");
    complaint error;
    auto const it = decode_read(page, 8, error);
    CHECK(error.empty());
    CHECK(it.end == 10);
    CHECK(it.first == 2);
    REQUIRE(it.records.size() == 2);
    CHECK(it.records[0].at == 8);
    CHECK(it.records[0].value == "value");
    CHECK(it.records[1].key == "gone");
    CHECK(it.records[1].value.empty());
    auto const truncated =
        decode_read(page.substr(0, page.size() - 2), 8, error);
    CHECK(truncated.records.size() == 1);
    CHECK_FALSE(error.empty());
}

TEST_CASE("the newest records are decoded with their offsets")
{
    complaint error;
    auto const it =
        decode_newest(R"({"items":[{"key":"a","value":"dmFsdWU=","offset":4}],)"
                      R"("has_more":true,"end":6})",
                      error);
    CHECK(error.empty());
    CHECK(it.more);
    CHECK(it.end == 6);
    REQUIRE(it.records.size() == 1);
    CHECK(it.records[0].value == "value");
    decode_newest("<html>", error);
    CHECK_FALSE(error.empty());
}

TEST_CASE("a duty record is the same after encoding and decoding")
{
    core::duty_record in{"n1", 7, 9, false, core::usage_report{5, {{"t", 3}}}};
    in.move = core::pool_move{4, "lm", "v2", {}, 1, {}, "good"};
    auto const out = codec::duty_from_json(codec::duty_to_json(in));
    CHECK(out.holder == "n1");
    REQUIRE(out.move);
    CHECK(out.move->to == "v2");
    CHECK(out.move->stage == 1);
    CHECK_FALSE(out.move->end);
    CHECK_THROWS_AS(codec::duty_from_json("{}"), std::invalid_argument);
    CHECK_THROWS_AS(codec::duty_from_json("bytes"), std::invalid_argument);
    CHECK(out.fencing == 9);
    REQUIRE(out.intent);
    CHECK(out.intent->counts == in.intent->counts);
}

TEST_CASE("evacuations are decoded, and a complete listing ends the others")
{
    std::vector<keyed_record> const records{{3, "evacuate/z1", "{}"},
                                            {4, "config", "{}"},
                                            {5, "evacuate/z2", "{}"},
                                            {6, "evacuate/z1", ""}};
    auto it = decode_evacuations(records, false, 7);
    REQUIRE(it.entries.size() == 3);
    CHECK(it.entries[0] == core::zone_evacuation{4, "z1", true});
    CHECK(it.entries[1] == core::zone_evacuation{6, "z2", true});
    CHECK(it.entries[2] == core::zone_evacuation{7, "z1", false});
    CHECK_FALSE(it.complete_at);
    CHECK(decode_evacuations({}, true, 9).complete_at == 9);
}

TEST_CASE("a rollout order is decoded and the rollout's state is encoded")
{
    complaint skipped;
    auto const it = decode_move_order(
        {3, "rollout/lm", R"({"service":"lm","target":"v2","duration_s":1.5})"},
        skipped);
    CHECK(skipped.empty());
    CHECK(it.at == 4);
    CHECK(it.pool == "lm");
    CHECK(it.to == "v2");
    CHECK(it.within == 1'500ms);
    for (auto const* const invalid :
         {"", "{}", R"({"service":"lm","target":7,"duration_s":1})",
          R"({"service":"lm","target":"v2","duration_s":"long"})"}) {
        complaint why;
        CHECK(decode_move_order({3, "rollout/lm", invalid}, why).at == 0);
        CHECK_FALSE(why.empty());
    }
    core::pool_move m{4, "lm", "v2", {}, 1, {}, "good"};
    CHECK(encode_move_state(m) == R"({"state":"running","target":"v2"})");
    m.end = core::move_end::finished;
    CHECK(encode_move_state(m) == R"({"state":"completed","target":"v2"})");
    m.end = core::move_end::taken_back;
    CHECK(encode_move_state(m) == R"({"state":"rolled_back","target":"v2"})");
}

TEST_CASE("a request is decoded with its route, key and prompt")
{
    core::configuration c;
    std::vector<complaint> skipped;
    core::install_snapshot(
        c, decode_configuration({6, "config", configuration_text}, skipped));
    auto const it = decode_request(request(), "id-1#1", c);
    CHECK(it.route == "r1");
    CHECK(it.key_digest == codec::sha256("k1"));
    CHECK(it.deadline == 2'500ms);
    CHECK(it.prompt_tokens == 1'460);
    CHECK(it.max_answer_tokens == 80);
    CHECK(it.block_tokens == std::vector{800, 410, 250});
    auto other = request();
    std::ranges::replace(other.headers,
                         std::pair<std::string, std::string>{"Model", "m"},
                         std::pair<std::string, std::string>{"Model", "n"});
    CHECK(decode_request(other, "id-2#2", c).prefix_blocks != it.prefix_blocks);
}

TEST_CASE("a part of a prompt is the same behind other parts and for another "
          "model, and the last part is the request's own")
{
    core::configuration const c;
    auto const parts = [&](std::string const& model,
                           std::string const& prefix) {
        runtime::http_request in;
        in.headers = {{"Model", model}, {"Prefix-Hash", prefix}};
        return decode_request(in, "id-1#1", c).shared_parts;
    };
    CHECK(parts("m", "5c:800,91:410,e4:250") ==
          std::vector<std::uint64_t>{0x5c, 0x91});
    CHECK(parts("n", "77:10,91:410,e5:250").at(1) == 0x91);
    CHECK(parts("m", "91:410").empty());
    CHECK(parts("m", "").empty());
    CHECK(parts("m", "no hex:410,e5:250").size() == 1);
}

TEST_CASE("a runner gets the caller's headers without key and control headers")
{
    core::dispatch call;
    call.endpoint = "i-1";
    call.organisation = "t1";
    call.timeout = 1'800ms;
    call.kind = core::endpoint_kind::model_runner;
    auto const it = runner_headers(request(), call, std::nullopt);
    for (auto const* const name :
         {"Authorization", "Hold", "Pin-Ms", "Kv-From", "Connection", "X-Hop"})
        CHECK_FALSE(has(it, name));
    CHECK(value_of(it, "Request-Id") == "id-1");
    CHECK(value_of(it, "Tenant") == "t1");
    CHECK(value_of(it, "Expect-Instance") == "i-1");
    CHECK(value_of(it, "Deadline-Ms") == "1800");
    CHECK(value_of(it, "Token-Count") == "1460,80");
    CHECK(value_of(it, "Last-Event-Id") == "12");
    CHECK(value_of(it, "X-Other") == "2");
    CHECK(std::ranges::count_if(
              it, [](auto const& n) { return n.first == "Tenant"; }) == 1);
    auto const resumed = runner_headers(request(), call, "20");
    CHECK(value_of(resumed, "Last-Event-Id") == "20");
}

TEST_CASE("only a header of the runner marks a request as not run")
{
    CHECK(decode_head(1, 503, {{"Not-Executed", "1"}}).not_run);
    CHECK(decode_head(1, 421, {{"Instance-Id", "i-2"}}).not_run);
    CHECK_FALSE(decode_head(1, 503, {}).not_run);
    CHECK_FALSE(decode_head(1, 500, {}).not_run);
}

TEST_CASE("a runner says in its answers that it leaves or wants a pause")
{
    CHECK(decode_head(1, 200, {{"Server-Leaving", "1"}}).leaving);
    CHECK_FALSE(decode_head(1, 200, {{"Server-Leaving", "0"}}).leaving);
    CHECK_FALSE(decode_head(1, 200, {{"Connection", "close"}}).leaving);
    auto const pause = [](int status, char const* text) {
        return decode_head(1, status, {{"Retry-After", text}}).pause;
    };
    CHECK(pause(503, "2") == 2s);
    CHECK(pause(503, "0.25") == 250ms);
    CHECK(pause(503, "soon") == 0ms);
    CHECK(pause(503, "-1") == 0ms);
    CHECK(pause(503, "1e300") == core::max_endpoint_pause);
    CHECK(pause(429, "2") == 0ms);
    CHECK(decode_head(1, 503, {}).pause == 0ms);
    CHECK(decode_head(1, 503, {}).malformed_header.empty());
}

TEST_CASE("a malformed header about leaving or a pause is named and ignored")
{
    using headers = runtime::header_list;
    for (auto const& it :
         {headers{{"Server-Leaving", "yes"}}, headers{{"Server-Leaving", ""}},
          headers{{"Server-Leaving", "1"}, {"server-leaving", "1"}}}) {
        auto const head = decode_head(1, 200, it);
        CHECK_FALSE(head.leaving);
        CHECK(head.malformed_header == "Server-Leaving");
    }
    for (auto const* text : {"soon", "-1", "0", "inf", "nan", "1e999", "",
                             "Sat, 05 Dec 2026 02:00:00 GMT"}) {
        auto const head = decode_head(1, 503, {{"Retry-After", text}});
        CHECK(head.pause == 0ms);
        CHECK(head.malformed_header == "Retry-After");
    }
    CHECK(decode_head(1, 200, {{"Server-Leaving", "0"}, {"Retry-After", "x"}})
              .malformed_header.empty());
}

TEST_CASE("503 and 429 are sent only for requests that have not run")
{
    auto const status = [](int status, core::outcome what) {
        return refusal_answer(
                   "id", {status, what, core::step::queue, "", "text", 250ms})
            .status;
    };
    CHECK(status(504, core::outcome::not_run) == 503);
    CHECK(status(502, core::outcome::not_run) == 503);
    CHECK(status(429, core::outcome::not_run) == 429);
    CHECK(status(404, core::outcome::not_run) == 404);
    CHECK(status(422, core::outcome::not_run) == 400); // final for callers
    CHECK(status(504, core::outcome::outcome_unknown) == 504);
    CHECK(status(503, core::outcome::outcome_unknown) == 502);
    auto const it = refusal_answer("id", {503, core::outcome::not_run,
                                          core::step::queue, "", "", 1'050ms});
    CHECK(value_of(it.headers, "Retry-After") == "1.050");
}

TEST_CASE("events are complete, wherever the bytes are split")
{
    std::string const bytes = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3";
    for (std::size_t step = 1; step <= bytes.size(); ++step) {
        codec::event_splitter s;
        std::vector<codec::stream_event> got;
        for (std::size_t at = 0; at < bytes.size(); at += step)
            std::ranges::move(codec::split_events(s, bytes.substr(at, step)),
                              std::back_inserter(got));
        REQUIRE(got.size() == 2);
        CHECK(got[0].bytes == "id: 1\ndata: a\n\n");
        CHECK(got[0].id == "1");
        CHECK(got[1].id == "2");
        CHECK(s.held == "id: 3");
    }
}

// Each would take the memory of an event.
TEST_CASE("blank lines of a stream are no events of their own")
{
    std::string const bytes = "\n\n\r\n\r\ndata: a\n\n\n\r\ndata: b\n\n\n";
    for (std::size_t step = 1; step <= bytes.size(); ++step) {
        codec::event_splitter s;
        std::vector<codec::stream_event> got;
        for (std::size_t at = 0; at < bytes.size(); at += step)
            std::ranges::move(codec::split_events(s, bytes.substr(at, step)),
                              std::back_inserter(got));
        REQUIRE(got.size() == 2);
        CHECK(got[0].bytes == "\n\n\r\n\r\ndata: a\n\n");
        CHECK(got[1].bytes == "\n\r\ndata: b\n\n");
        CHECK(s.held == "\n");
        CHECK_FALSE(codec::holds_event(s));
    }
}

// Legal heads of very many short entries took many times what was counted.
TEST_CASE("the parts of a prompt count as what they are decoded into")
{
    constexpr std::size_t parts = 2'500;
    runtime::http_request in;
    std::string list;
    for (std::size_t n = 0; n < parts; ++n)
        list += "a:1,";
    in.headers.emplace_back("Prefix-Hash", list);
    auto const it = decode_request(in, "id", core::configuration{});
    REQUIRE(it.prefix_blocks.size() == parts);
    auto const held = it.prefix_blocks.capacity() * sizeof(std::uint64_t) +
                      it.block_tokens.capacity() * sizeof(int) +
                      it.shared_parts.capacity() * sizeof(std::uint64_t);
    CHECK(core::memory_of(it) >= held);
}

TEST_CASE("a missing or invalid setting is reported by name")
{
    std::string const text = "node_name=n\nzone=z\nip=127.0.0.1\n"
                             "listen.front=127.0.0.1:1\n"
                             "listen.readiness=127.0.0.1:2\n"
                             "internal_ports=7600,7615\n"
                             "bounds.lease_ms=4000\nnew_field=1\n"
                             "bounds.cold_overshoot=2\nbounds.cold_slack=3\n"
                             "cloud_api.address=127.0.0.1:4\n"
                             "cloud_api.duties=usage\n";
    auto const it = parse_settings(text + "platform.address=127.0.0.1:3\n");
    CHECK(it.product.core.lease == 4s);
    CHECK(it.product.core.cold_overshoot == 2);
    CHECK(it.product.core.cold_slack == 3);
    CHECK(it.product.peer.port == 7600);
    CHECK(it.product.core.duties_enabled);
    CHECK_FALSE(it.product.core.fleet_planning_enabled);
    CHECK_THROWS_WITH(parse_settings(text),
                      Catch::Contains("platform.address"));
    CHECK_THROWS_WITH(parse_settings(text + "platform.address=127.0.0.1:3\n"
                                            "bounds.grace_s=long\n"),
                      Catch::Contains("bounds.grace_s"));
}
