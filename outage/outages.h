// Groups of engines that run no requests because one of their ranks has failed.
#pragma once

#include "base/types.h"

#include <algorithm>
#include <functional>
#include <map>

namespace orioletrail {

// What one instance has seen of a group itself, as it tells it to the others. Instances do not pass on what they have
// heard: times would move on with each message, and an outage would never end.
struct OutageReport {
    // Time since the group last failed for this instance, and since it last served after a failure.
    std::optional<Millis> failedAgo {};
    std::optional<Millis> servedAgo {};

    bool operator==(const OutageReport&) const = default;
};
using OutageReports = std::map<std::string, OutageReport, std::less<>>;

struct OutageSettings {
    // Time between two requests of an instance that try whether the group serves again. A group takes some
    // hundred milliseconds to form.
    Millis probeInterval { 250 };
    // Number of instances that send such requests; the others learn the result from them.
    size_t probers = 2;
    // An outage about which nothing was heard for this long is over.
    Millis expiry { 5000 };
    // Age up to which an instance tells the others what it has seen.
    Millis reportMaxAge { 1000 };
    // Two endpoints of a group that reject requests within this time are taken for an outage. One alone may have
    // rejected a request that it cannot hold.
    Millis confirmWithin { 500 };
    // Longest delay of a report. What others saw may have happened this long before it seems to.
    Millis reportDelay { 100 };
    // Most groups that are kept from reports.
    size_t maxGroups = 1024;
};

// Answers this load: one rank of a group of engines fails, and all others reject what they get at once. They have
// nothing in flight then and would attract all requests of the service, while other groups have room.
//
// Knows groups by their names only.
class Outages {
public:
    // `instance` is this instance's name.
    explicit Outages(std::string instance = {}, const OutageSettings& settings = {})
        : m_instance(std::move(instance))
        , m_settings(settings)
    {
    }

    // A rank of the group has ended. `sent` is when the request was sent that showed it. Returns whether the outage is
    // new.
    bool onFailed(std::string_view group, TimePoint sent, TimePoint now);
    // The endpoint, a rank of the group, rejected a request although it had room. Returns whether an outage is new.
    bool onRejected(std::string_view group, std::string_view endpoint, TimePoint sent, TimePoint now);
    // A rank of the group has begun to answer a request sent at `sent`. Returns whether that ends an outage.
    bool onServed(std::string_view group, TimePoint sent, TimePoint now);
    // A request was sent to the group.
    void onSent(std::string_view group, TimePoint now);

    // True if the group gets no requests now: it is out, and no request is due that tries it.
    bool isOut(std::string_view group, TimePoint now) const;

    // What this instance knows, for the others; empty in calm.
    OutageReports report(TimePoint now) const;
    // Merges what another instance has reported, and notes that it is alive.
    void onPeerReport(std::string_view peer, const OutageReports&, TimePoint now);

    // Number of groups that are out.
    size_t count(TimePoint now) const;

private:
    // What is known of a group. A time point of 0 stands for never.
    struct Outage {
        TimePoint ownFailed;
        TimePoint ownServed;
        TimePoint peerFailed;
        TimePoint peerServed;
        TimePoint nextProbe;

        TimePoint failed() const { return std::max(ownFailed, peerFailed); }
        TimePoint served() const { return std::max(ownServed, peerServed); }
    };

    // The last rejection by a rank with room.
    struct Rejection {
        std::string endpoint;
        TimePoint at;
    };

    bool isActive(const Outage&, TimePoint now) const;
    // True if this instance is one of those that try whether the group serves again.
    bool isProber(std::string_view group, TimePoint now) const;
    void removeExpired(TimePoint now);

    std::string m_instance;
    OutageSettings m_settings;
    std::map<std::string, Outage, std::less<>> m_outages;
    std::map<std::string, Rejection, std::less<>> m_rejections;
    // Instances that were heard recently.
    std::map<std::string, TimePoint, std::less<>> m_peers;
};

} // namespace orioletrail
