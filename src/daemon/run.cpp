#include "papayahook/run.hpp"

#include "daemon/log_appender.hpp"
#include "runtime/node.hpp"

namespace papayahook {

int run_node(std::string const& settings_file)
{
    auto const settings = runtime::read_settings(settings_file);
    constexpr auto standard_output = "-";
    if (settings.log_file != standard_output)
        runtime::set_log_writer(daemon::open_appender(settings));
    auto const result = runtime::run_node(settings, nullptr);
    runtime::set_log_writer({});
    return result;
}

} // namespace papayahook
