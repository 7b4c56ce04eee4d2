#include "direct/sidecar.h"

#include "gateway/async.h"
#include "platform/dialect.h"
#include "telemetry/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "memory/report.h"

namespace orioletrail {

namespace asio = boost::asio;

namespace detail {

    // Longer than a copy from which the store comes back is old.
    constexpr Millis registrationCheckDelay { 20'000 };

} // namespace detail

EngineSidecar::EngineSidecar(EngineSidecarSettings settings)
    : m_settings(std::move(settings))
{
}

bool validate(const EngineSidecarSettings& settings, std::string& reason)
{
    if (!settings.settingsFile.empty() || platformSettingsPath())
        return true;
    reason = "--settings-file: not set, and the platform has passed no path of a settings file";
    return false;
}

bool EngineSidecar::run()
{
    if (!start())
        return false;
    m_stopSignals.async_wait([this](boost::system::error_code error, int) {
        if (!error)
            m_context.stop();
    });
    awaitReload();
    asio::co_spawn(m_context, registerSelf(), asio::detached);
    log(LogLevel::Info, "sidecar started", { { "instance", m_platform.instance }, { "engine", m_platform.engineAddress } });
    m_context.run();
    log(LogLevel::Info, "sidecar stopped", { { "instance", m_platform.instance } });
    return true;
}

bool EngineSidecar::start()
{
    if (m_settings.settingsFile.empty())
        m_settings.settingsFile = platformSettingsPath().value_or("");
    const std::optional<PlatformSettings> read = readPlatformSettings(m_settings.settingsFile, m_lastError);
    if (!read)
        return false;
    m_platform = *read;
    const auto storeAddress = parseAddress(m_platform.storeAddress);
    const auto engineAddress = parseAddress(m_platform.engineAddress);
    if (!storeAddress || !engineAddress || !m_platform.firstPeerPort) {
        m_lastError = "the settings name no valid address for the store or the engine, or no port for other instances";
        return false;
    }
    const StoreClientSettings storeSettings { storeAddress->first, storeAddress->second, m_settings.storeTimeout };
    m_store = std::make_unique<StoreClient>(m_context.get_executor(), storeSettings, m_metrics);
    m_registry = std::make_unique<InstanceRegistry>(*m_store);
    m_engine = std::make_unique<HttpClient>(m_context.get_executor(), engineAddress->first, engineAddress->second);
    m_server = std::make_unique<HttpServer>(
        m_context.get_executor(), HttpLimits {}, [this](const HttpRequest& request, Responder& responder) { return forward(request, responder); },
        [](unsigned status, Reason) { return HttpResponse { status, {}, {} }; });
    limitRetainedMemory();
    constexpr size_t descriptorsPerCaller = 2;
    m_server->setMemory(makeMemoryGuard(memorySettingsFor(m_platform.memoryBytes, m_platform.maxDescriptors, descriptorsPerCaller), m_metrics));
    if (!m_server->listen(m_platform.address, m_platform.firstPeerPort)) {
        m_lastError = m_server->lastError();
        return false;
    }
    return true;
}

Task<> EngineSidecar::registerSelf()
{
    RegisteredInstance self { m_platform.instance, m_platform.address + ':' + std::to_string(m_platform.firstPeerPort), m_platform.engineService };
    // A store that comes back from an older copy may have lost a registration that is younger.
    bool isOldEnough = false;
    while (!isOldEnough) {
        co_await m_registry->add(std::string(sidecarKind), self);
        co_await sleepFor(detail::registrationCheckDelay);
        isOldEnough = co_await m_registry->isRegistered(std::string(sidecarKind), self.name);
    }
}

Task<> EngineSidecar::forward(const HttpRequest& request, Responder& responder)
{
    constexpr unsigned badGateway = 502;
    HttpCall call;
    call.request.method = request.method;
    call.request.target = request.target;
    call.request.headers = endToEndHeaders(request.headers);
    call.request.body = request.body;
    call.timeout = m_settings.engineTimeout;
    call.connectTimeout = m_settings.engineTimeout;
    // As the leader does: an order takes only the first answer on a connection.
    call.allowReuse = request.method == "GET";
    HttpResult result = co_await m_engine->call(std::move(call));
    // Nothing of an answer that is not complete.
    if (!result.ok())
        result.body.clear();
    HttpResponse answer;
    answer.status = result.ok() ? result.status : badGateway;
    answer.headers = endToEndHeaders(result.headers);
    if (findHeader(answer.headers, requestIdHeader).empty())
        setRequestId(answer.headers, request.header(requestIdHeader));
    answer.body = std::move(result.body);
    if (!result.ok())
        log(LogLevel::Warning, "request to the engine failed", { { "instance", m_platform.instance }, { "target", request.target } });
    co_await responder.respond(answer);
}

void EngineSidecar::awaitReload()
{
    m_reloadSignals.async_wait([this](boost::system::error_code error, int) {
        if (error)
            return;
        log(LogLevel::Info, "reload ignored: no setting can be reloaded", { { "instance", m_platform.instance } });
        awaitReload();
    });
}

} // namespace orioletrail
