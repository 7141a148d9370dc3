#include "runtime/logging.hpp"

#include <algorithm>
#include <array>
#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <memory>

namespace papayahook::runtime {

namespace {

constexpr char const* pattern = "%D{%Y-%m-%dT%H:%M:%S.%q} %p %m%n";
// Ordinary with many requests; shown at level "debug" only.
constexpr std::array frequent{401, 402, 403, 604};

std::unique_ptr<log4cplus::Initializer> initializer;

log4cplus::Logger& logger()
{
    static auto it = log4cplus::Logger::getInstance("papayahook");
    return it;
}

std::string quoted(std::string const& text)
{
    std::string out = "\"";
    for (char const c : text) {
        if (c == '"' || c == '\\')
            out += '\\';
        out += static_cast<unsigned char>(c) < ' ' ? ' ' : c;
    }
    return out + "\"";
}

} // namespace

void start_logging(settings const& it)
{
    initializer = std::make_unique<log4cplus::Initializer>();
    log4cplus::SharedAppenderPtr appender;
    if (it.log_file.empty())
        appender = new log4cplus::ConsoleAppender(true, true);
    else
        appender =
            new log4cplus::FileAppender(it.log_file, std::ios_base::app, true);
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(pattern));
    logger().addAppender(appender);
    auto const level = it.log_level == "error"   ? log4cplus::ERROR_LOG_LEVEL
                       : it.log_level == "warn"  ? log4cplus::WARN_LOG_LEVEL
                       : it.log_level == "debug" ? log4cplus::DEBUG_LOG_LEVEL
                                                 : log4cplus::INFO_LOG_LEVEL;
    logger().setLogLevel(level);
}

void stop_logging()
{
    logger().removeAllAppenders();
    initializer.reset();
}

void write_log(core::log_event const& it)
{
    std::string line =
        "event=" + std::to_string(it.number) + " subject=" + quoted(it.subject);
    if (!it.peer.empty())
        line += " peer=" + quoted(it.peer);
    if (!it.detail.empty())
        line += " detail=" + quoted(it.detail);
    bool const often = std::ranges::find(frequent, it.number) != frequent.end();
    if (often)
        LOG4CPLUS_DEBUG(logger(), line);
    else
        LOG4CPLUS_INFO(logger(), line);
}

} // namespace papayahook::runtime
