#include "papayahook/run.hpp"

#include "daemon/log_appender.hpp"
#include "runtime/node.hpp"

namespace papayahook {

int run_node(std::string const& settings_file)
{
    auto const set = runtime::read_settings(settings_file);
    constexpr auto standard_output = "-";
    if (set.log_file != standard_output)
        runtime::log_to(daemon::open_appender(set));
    auto const result = runtime::run_node(set, nullptr);
    runtime::log_to({});
    return result;
}

} // namespace papayahook
