#include "daemon/log_appender.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <iostream>
#include <log4cplus/appender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/spi/loggingevent.h>
#include <memory>
#include <sstream>
#include <unistd.h>

namespace papayahook::daemon {

namespace {

constexpr char const* line_pattern = "%D{%Y-%m-%dT%H:%M:%S.%q} %p %m%n";
// Events that are common under load; logged at level "debug".
constexpr std::array frequent_events{306, 401, 402, 403, 407,
                                     408, 409, 604, 605};

// The library's own appenders block when nobody reads, and lose lines without
// counting them when a write fails.
class buffering_appender final : public log4cplus::Appender
{
public:
    ~buffering_appender() override { destructorImpl(); }
    void close() override { closed = true; }

    int number = 0; // of the event that is being logged

protected:
    void append(log4cplus::spi::InternalLoggingEvent const& it) override
    {
        std::ostringstream line;
        layout->formatAndAppend(line, it);
        runtime::buffer_line(number, line.str());
    }
};

// Returns standard error if the file cannot be opened.
int open_log_file(std::string const& path)
{
    if (path.empty())
        return STDERR_FILENO;
    constexpr mode_t rights = 0644;
    int const fd =
        open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, rights);
    if (fd >= 0)
        return fd;
    std::cerr << path << ": " << std::strerror(errno) << '\n';
    return STDERR_FILENO;
}

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
    runtime::set_log_descriptor(open_log_file(it.log_file));
    log4cplus::helpers::SharedObjectPtr<buffering_appender> const to(
        new buffering_appender);
    to->setLayout(std::make_unique<log4cplus::PatternLayout>(line_pattern));
    out->logger.addAppender(log4cplus::SharedAppenderPtr(to.get()));
    out->logger.setLogLevel(level_of(it.log_level));
    return [out, to](int number, std::string const& line) {
        to->number = number;
        bool const is_frequent =
            std::ranges::find(frequent_events, number) != frequent_events.end();
        if (is_frequent)
            LOG4CPLUS_DEBUG(out->logger, line);
        else
            LOG4CPLUS_INFO(out->logger, line);
    };
}

} // namespace papayahook::daemon
