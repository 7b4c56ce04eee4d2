#include "telemetry/log.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/logger.h>
#include <log4cxx/mdc.h>

namespace orioletrail {

namespace detail {

    log4cxx::LevelPtr levelOf(LogLevel level)
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
    auto layout = std::make_shared<log4cxx::JSONLayout>();
    auto appender = std::make_shared<log4cxx::ConsoleAppender>(layout);
    log4cxx::BasicConfigurator::configure(appender);
    log4cxx::Logger::getRootLogger()->setLevel(detail::levelOf(level));
    detail::logger();
}

void log(LogLevel level, std::string_view message, LogFields fields)
{
    if (!isLogged(level))
        return;
    for (const auto& [name, value] : fields)
        log4cxx::MDC::put(std::string(name), value);
    detail::logger()->forcedLog(detail::levelOf(level), std::string(message), log4cxx::spi::LocationInfo::getLocationUnavailable());
    for (const auto& [name, value] : fields)
        log4cxx::MDC::remove(std::string(name));
}

bool isLogged(LogLevel level)
{
    return detail::logger()->isEnabledFor(detail::levelOf(level));
}

} // namespace orioletrail
