// Keeps the control state of one instance current: watches the platform and gossips with peers.
#pragma once

#include "control/control.h"
#include "platform/platform.h"
#include "transport/gossip.h"

namespace orioletrail {

struct AgentSettings {
    std::string name;
    std::string zone;
    // Address on which to answer gossip requests, "IP:PORT". Empty for an instance that takes no part
    // in gossip, such as a sidecar.
    std::string gossipAddress;
    // Gossip addresses of peers, used until the configuration lists instances.
    std::vector<std::string> peers;
    // Number of peers to gossip with, see chooseNeighbours().
    size_t neighbours = 4;
    // Time between gossip requests, which go to the neighbours in turn.
    Millis gossipInterval { 200 };
    Millis gossipTimeout { 1000 };
    // How long a watch request waits at the platform for changes.
    Millis watchWait { 500 };
    // An instance that takes part in gossip but is not a watcher polls the platform itself once its
    // configuration has not been confirmed for pollAfter, plus pollDelayPerRank times its
    // watcherRank().
    Millis pollAfter { 1000 };
    Millis pollDelayPerRank { 100 };
    FreshnessSettings freshness;
};

// Runs on the executor's thread. start() and stop() must be called on that thread.
class ConfigAgent {
public:
    // `viewChanged` is called with each new view, on the thread of the Control actor.
    ConfigAgent(boost::asio::any_io_executor, AgentSettings, Platform, std::function<void(const ControlView&)> viewChanged);
    ~ConfigAgent();

    // Returns false and sets lastError() if it cannot listen on the gossip address.
    bool start();
    void stop();

    Control& control() { return m_control; }
    const std::string& lastError() const { return m_lastError; }

private:
    Task<> watchLoop();
    Task<> gossipLoop();
    bool shouldPollPlatform() const;
    bool isWatcher() const;
    Task<bool> pollPlatform(Millis wait);
    void onView(const ControlView&);
    void onChangesApplied(const ConfigDelta&);
    void onRequest(GossipRequest&&, const GossipServer::Reply&);
    void updateNeighbours();
    void gossipWith(GossipClient&, const ConfigDelta& changes);

    boost::asio::any_io_executor m_executor;
    AgentSettings m_settings;
    Platform m_platform;
    std::function<void(const ControlView&)> m_viewChanged;
    ControlView m_view;
    std::map<std::string, std::unique_ptr<GossipClient>> m_neighbours;
    uint64_t m_neighboursRevision = 0;
    bool m_stopped = false;
    std::string m_lastError;
    std::unique_ptr<GossipServer> m_server;
    Control m_control;
};

} // namespace orioletrail
