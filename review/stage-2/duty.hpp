// A small deployment with duties: nodes, each behind links of its own to the
// store and the API, three model runners, and steady requests to all nodes.
#pragma once

#include "rig.hpp"

namespace rig {

struct deployment
{
    explicit deployment(int nodes_wanted) : log(own_ip(200)), api(own_ip(201))
    {
        api.none_available = true;
        log.put("keyed.op", "config", configuration());
        for (int n = 0; n < 3; ++n)
            add_runner(n);
        for (int n = 0; n < nodes_wanted; ++n) {
            auto it = std::make_unique<member>();
            it->self.name = "front-" + std::to_string(n + 1);
            it->self.ip = own_ip(10 + n);
            it->self.zone = zones[static_cast<std::size_t>(n) % 3];
            it->to_store = std::make_unique<link>(own_ip(50 + n), log.at);
            it->to_api = std::make_unique<link>(own_ip(80 + n), api.at);
            write_settings(it->self, it->to_store->at, it->to_api->at,
                           "usage,autoscale");
            members.push_back(std::move(it));
        }
    }

    struct member
    {
        node self;
        std::unique_ptr<link> to_store;
        std::unique_ptr<link> to_api;
    };

    store log;
    cloud_api api;
    std::vector<std::unique_ptr<member>> members;

    member* named(std::string const& name)
    {
        for (auto const& it : members)
            if (it->self.name == name)
                return it.get();
        return nullptr;
    }

    void start_all()
    {
        for (auto const& it : members)
            start(it->self);
        if (!wait_for(15, [&] {
                return std::all_of(
                    members.begin(), members.end(),
                    [](auto const& it) { return is_ready(it->self); });
            }))
            give_up("the nodes are not ready");
        note("script  all nodes are ready");
        for (auto const& it : members)
            std::thread([this, m = it.get()] { load(*m); }).detach();
    }

    std::string holder_now()
    {
        auto const all = api.calls();
        return all.empty() ? std::string() : all.back().holder;
    }

    // When links healed. Calls within thaw_ms after it don't count.
    std::vector<double> heals;

    bool is_excused(duty_call const& it) const
    {
        constexpr double thaw_s = 0.3; // bounds.thaw_ms
        return std::any_of(heals.begin(), heals.end(), [&](double at) {
            return it.at >= at && it.at <= at + thaw_s;
        });
    }

    // Returns the first call that counts and has a lower token than an earlier
    // one of the same subject, and that earlier call.
    std::optional<std::pair<duty_call, duty_call>> lower_token()
    {
        std::map<std::string, duty_call> highest;
        for (auto const& it : api.calls()) {
            auto& top = highest[it.subject];
            if (it.token < top.token && !is_excused(it))
                return std::pair(it, top);
            if (it.token > top.token)
                top = it;
        }
        return std::nullopt;
    }

private:
    static std::string configuration()
    {
        return json{
            {"version", 1},
            {"routes",
             {{{"name", "r"},
               {"host", "h"},
               {"path_prefix", "/m/"},
               {"route_type", "streaming"},
               {"timeout_ms", 4000},
               {"target_latency_ms", 500},
               {"priority", 0},
               {"service", "model"},
               {"attempts", 2},
               {"public", false},
               {"sticky", true},
               {"resumable", true},
               {"gap_target_ms", 300}}}},
            {"services",
             {{{"name", "model"},
               {"health_path", "/health"},
               {"max_conns", 360},
               {"engine", {{"slots", 64}, {"kv_capacity_tokens", 400000}}},
               {"scaling",
                {{"min", 1},
                 {"max", 8},
                 {"boot_s", 4.0},
                 {"spot_price", 0.18},
                 {"zone_prices",
                  {{"zone-a", 1.0}, {"zone-b", 1.0}, {"zone-c", 1.0}}}}}}}},
            {"limits",
             {{"header_bytes", 16384},
              {"max_body_bytes", 4194304},
              {"header_timeout_ms", 3000},
              {"idle_timeout_ms", 15000}}},
            {"tenants", {{{"name", "acme"}, {"api_keys", {"k1"}}}}}}
            .dump();
    }

    void add_runner(int n)
    {
        auto const name = "i-" + std::to_string(n + 1);
        auto at = std::make_unique<address>(address{own_ip(120 + n), 0});
        serve_on(*at, [name](int fd) {
            reader in(fd);
            while (auto const it = in.read()) {
                auto const id = it->header("Request-Id");
                if (it->header("Expect-Instance") != name) {
                    send_all(fd, answer(421, "", "Request-Id: " + id + "\r\n"));
                    continue;
                }
                sleep_s(0.03);
                if (!send_all(fd, answer(200, "id: 1\ndata: a\n\n",
                                         "Request-Id: " + id +
                                             "\r\nResponse-Seal: s\r\n"
                                             "Content-Type: "
                                             "text/event-stream\r\n")))
                    return;
            }
        });
        json const entry{{"service", "model"},
                         {"address", at->text()},
                         {"zone", zones[static_cast<std::size_t>(n) % 3]},
                         {"version", "v1"},
                         {"slots", 64},
                         {"state", "ready"},
                         {"cold_left_ms", 0},
                         {"models", {{{"name", "m"}, {"version", 1}}}},
                         {"sequence", 1},
                         {"born", 1700000000000 + n}};
        runners_.push_back(std::move(at));
        log.beat(name, entry);
    }

    // Some ten prompts of 8,000 tokens a second, over all nodes.
    void load(member const& m)
    {
        for (int n = 0;; ++n) {
            sleep_s(0.1 * static_cast<double>(members.size()));
            auto const id = m.self.name + "-" + std::to_string(n);
            ask(m.self.front(),
                "GET /m/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer k1\r\n"
                "Request-Id: " +
                    id +
                    "\r\nModel: m\r\nToken-Count: 8000,10\r\nPrefix-Hash: " +
                    std::to_string(n) + "a:8000\r\nDeadline-Ms: 3000\r\n\r\n",
                4);
        }
    }

    std::vector<std::unique_ptr<address>> runners_;
};

} // namespace rig
