// Keeps the control state of one instance current: watches the platform and gossips with peers.
#pragma once

#include "control/control.h"
#include "platform/platform.h"
#include "transport/gossip.h"

namespace orioletrail {

struct AgentSettings {
    std::string name;
    std::string zone;
    // Where to answer peers, "IP:PORT"; empty for an instance that only learns, such as a sidecar.
    std::string gossip;
    // Peers known from settings, used until the configuration lists instances.
    std::vector<std::string> peers;
    size_t neighbours = 4;
    Millis gossipTick { 200 };
    Millis gossipTimeout { 1000 };
    Millis watchWait { 500 };
    // An instance that does not watch asks the platform itself when its configuration has
    // not been confirmed for this long, and this much longer for each rank that it has.
    Millis askAfter { 1000 };
    Millis askStep { 100 };
    FreshnessSettings freshness;
};

// Runs on a control executor. Call start() and stop() on that executor's thread.
class Agent {
public:
    // `published` gets each new view on the control state's thread.
    Agent(boost::asio::any_io_executor, AgentSettings, Platform, std::function<void(const ControlView&)> published);
    ~Agent();

    // False with lastError() set if the gossip address cannot be used.
    bool start();
    void stop();

    Control& control() { return m_control; }
    const std::string& lastError() const { return m_lastError; }

private:
    Task<> watchLoop();
    Task<> gossipLoop();
    bool shouldAskPlatform() const;
    bool isWatcher() const;
    Task<bool> askPlatform(Millis wait);
    void onView(const ControlView&);
    void onNews(const ConfigDelta&);
    void onRequest(GossipRequest&&, const GossipServer::Reply&);
    void updateNeighbours();
    void gossipWith(GossipClient&, const ConfigDelta& news);

    boost::asio::any_io_executor m_executor;
    AgentSettings m_settings;
    Platform m_platform;
    std::function<void(const ControlView&)> m_published;
    ControlView m_view;
    std::map<std::string, std::unique_ptr<GossipClient>> m_neighbours;
    uint64_t m_neighboursFrom = 0;
    bool m_stopped = false;
    std::string m_lastError;
    std::unique_ptr<GossipServer> m_server;
    Control m_control;
};

} // namespace orioletrail
