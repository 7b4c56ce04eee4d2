#include "telemetry/log.h"

#include "telemetry/line-writer.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/helpers/writer.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/logger.h>
#include <log4cxx/mdc.h>
#include <log4cxx/writerappender.h>
#include <unistd.h>

namespace orioletrail {

namespace detail {

    // Writes formatted log lines to standard output within a rate limit. Needs no lock of its own,
    // since log4cxx calls it under the appender's lock.
    class RateLimitedWriter final : public log4cxx::helpers::Writer {
    public:
        void close(log4cxx::helpers::Pool&) override { }
        void flush(log4cxx::helpers::Pool&) override { }

        void write(const log4cxx::LogString& line, log4cxx::helpers::Pool&) override
        {
            const bool isAllowed = m_rateLimiter.tryAcquire(Clock::now());
            if (isAllowed && m_rateLimiter.dropped() && tryWriteLine(STDOUT_FILENO, droppedLinesRecord()))
                m_rateLimiter.resetDropped();
            if (isAllowed && !tryWriteLine(STDOUT_FILENO, line))
                m_rateLimiter.countDropped();
        }

    private:
        std::string droppedLinesRecord() const
        {
            return R"({ "level": "WARN", "logger": "orioletrail", "message": "log lines left out", "context_map": { "lines": ")"
                + std::to_string(m_rateLimiter.dropped()) + "\" } }\n";
        }

        LineRateLimiter m_rateLimiter;
    };

    log4cxx::LevelPtr toLog4cxxLevel(LogLevel level)
    {
        switch (level) {
        case LogLevel::Debug:
            return log4cxx::Level::getDebug();
        case LogLevel::Info:
            return log4cxx::Level::getInfo();
        case LogLevel::Warning:
            return log4cxx::Level::getWarn();
        case LogLevel::Error:
            break;
        }
        return log4cxx::Level::getError();
    }

    const log4cxx::LoggerPtr& logger()
    {
        static const log4cxx::LoggerPtr instance = log4cxx::Logger::getLogger("orioletrail");
        return instance;
    }

} // namespace detail

void startLog(LogLevel level)
{
    auto appender = std::make_shared<log4cxx::WriterAppender>();
    appender->setLayout(std::make_shared<log4cxx::JSONLayout>());
    appender->setWriter(std::make_shared<detail::RateLimitedWriter>());
    log4cxx::BasicConfigurator::configure(appender);
    log4cxx::Logger::getRootLogger()->setLevel(detail::toLog4cxxLevel(level));
    detail::logger();
}

void log(LogLevel level, std::string_view message, LogFields fields)
{
    if (!isLogged(level))
        return;
    for (const auto& [name, value] : fields)
        log4cxx::MDC::put(std::string(name), value);
    detail::logger()->forcedLog(detail::toLog4cxxLevel(level), std::string(message), log4cxx::spi::LocationInfo::getLocationUnavailable());
    for (const auto& [name, value] : fields)
        log4cxx::MDC::remove(std::string(name));
}

bool isLogged(LogLevel level)
{
    return detail::logger()->isEnabledFor(detail::toLog4cxxLevel(level));
}

} // namespace orioletrail
