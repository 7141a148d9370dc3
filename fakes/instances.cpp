// Fake of the platform's list of live and leaving instances.
//
//   GET  /instances -> {"instances": [{"endpoint", "incarnation", "leaving"}]}
//   POST /set {"endpoint", "incarnation", "leaving"}
#include "fakes/common.hpp"

#include <map>

namespace papayahook::fakes {

void run_instances(asio::io_context& io, listen_address const& listen)
{
    std::map<std::string, json> instances;
    serve(io, listen,
          [&instances](http_request const& in, responder_ptr const& out) {
              if (in.path == "/set") {
                  auto const body = parse_body(in);
                  instances[body.value("endpoint", "")] = body;
                  send_json(out, 200, json::object());
                  return;
              }
              auto all = json::array();
              for (auto const& [name, it] : instances)
                  all.push_back(it);
              send_json(out, 200, {{"instances", all}});
          });
}

} // namespace papayahook::fakes
