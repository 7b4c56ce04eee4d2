// Sidecar beside an engine: a proxy for the requests that the leader of the expert maps makes to the
// engine. Reports that an engine gives on its own machine have no lag, and reading its counts there
// is free.
#pragma once

#include "direct/registry.h"
#include "platform/settings.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

namespace orioletrail {

struct EngineSidecarSettings {
    // Path of the platform's settings file; empty to use the path that the platform passes.
    std::string settingsFile;
    Millis storeTimeout { 1000 };
    // Timeout of each forwarded request.
    Millis engineTimeout { 200 };
};

// Forwards requests without state or decisions of its own: the engine itself checks the fences and
// epochs of the orders.
class EngineSidecar {
public:
    explicit EngineSidecar(EngineSidecarSettings);

    // Serves on the calling thread until SIGTERM or SIGINT. Returns false with lastError() set if the
    // settings are invalid or the address cannot be bound.
    bool run();

    const std::string& lastError() const { return m_lastError; }

private:
    bool start();
    Task<> forward(const HttpRequest&, Responder&);
    Task<> registerSelf();
    void awaitReload();

    EngineSidecarSettings m_settings;
    PlatformSettings m_platform;
    Metrics m_metrics;
    boost::asio::io_context m_context { 1 };
    boost::asio::signal_set m_stopSignals { m_context, SIGTERM, SIGINT };
    boost::asio::signal_set m_reloadSignals { m_context, SIGHUP };
    std::unique_ptr<StoreClient> m_store;
    std::unique_ptr<InstanceRegistry> m_registry;
    std::unique_ptr<HttpClient> m_engine;
    std::unique_ptr<HttpServer> m_server;
    std::string m_lastError;
};

// Checks the settings. Returns false with `reason` set to a message that names the flag.
bool validate(const EngineSidecarSettings&, std::string& reason);

} // namespace orioletrail
