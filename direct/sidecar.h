// The sidecar beside an engine: passes on what the leader of the expert maps asks of the engine.
// From its own machine the engine answers without a lag, and at no cost.
#pragma once

#include "direct/registry.h"
#include "platform/settings.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

namespace orioletrail {

struct EngineSidecarSettings {
    // The platform's settings file; empty to take the path that the platform passes.
    std::string settingsFile;
    Millis storeTimeout { 1000 };
    Millis engineTimeout { 200 };
};

// Runs on the caller's thread until a SIGTERM. Keeps nothing and decides nothing: fences and
// epochs that go with the orders are checked by the engine.
class EngineSidecar {
public:
    explicit EngineSidecar(EngineSidecarSettings);

    // False with lastError() set if the settings are unusable or the address is taken.
    bool run();

    const std::string& lastError() const { return m_lastError; }

private:
    bool start();
    Task<> passOn(const HttpRequest&, Responder&);
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

// Checks the settings. Returns false with `reason` set, which names the flag and the value.
bool validate(const EngineSidecarSettings&, std::string& reason);

} // namespace orioletrail
