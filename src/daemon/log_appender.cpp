#include "daemon/log_appender.hpp"

#include <algorithm>
#include <array>
#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <memory>

namespace papayahook::daemon {

namespace {

constexpr char const* line_pattern = "%D{%Y-%m-%dT%H:%M:%S.%q} %p %m%n";
// Events that are common under load; logged at level "debug".
constexpr std::array frequent_events{306, 401, 402, 403, 407,
                                     408, 409, 604, 605};

struct appender
{
    appender() = default;
    appender(appender const&) = delete;
    appender& operator=(appender const&) = delete;
    ~appender() { logger.removeAllAppenders(); }

    log4cplus::Initializer initializer;
    log4cplus::Logger logger = log4cplus::Logger::getInstance("papayahook");
};

log4cplus::LogLevel level_of(std::string const& name)
{
    return name == "error"   ? log4cplus::ERROR_LOG_LEVEL
           : name == "warn"  ? log4cplus::WARN_LOG_LEVEL
           : name == "debug" ? log4cplus::DEBUG_LOG_LEVEL
                             : log4cplus::INFO_LOG_LEVEL;
}

} // namespace

runtime::log_writer open_appender(runtime::settings const& it)
{
    auto const out = std::make_shared<appender>();
    log4cplus::SharedAppenderPtr to;
    if (it.log_file.empty())
        to = new log4cplus::ConsoleAppender(true, true);
    else
        to = new log4cplus::FileAppender(it.log_file, std::ios_base::app, true);
    to->setLayout(std::make_unique<log4cplus::PatternLayout>(line_pattern));
    out->logger.addAppender(to);
    out->logger.setLogLevel(level_of(it.log_level));
    return [out](int number, std::string const& line) {
        bool const is_frequent =
            std::ranges::find(frequent_events, number) != frequent_events.end();
        if (is_frequent)
            LOG4CPLUS_DEBUG(out->logger, line);
        else
            LOG4CPLUS_INFO(out->logger, line);
    };
}

} // namespace papayahook::daemon
