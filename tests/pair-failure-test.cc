// Two overlapping faults under load.
#include "tests/cluster.h"

#include <csignal>
#include <doctest/doctest.h>
#include <functional>
#include <thread>

using namespace orioletrail;
using namespace orioletrail::tests;

namespace {

constexpr Millis loadDuration { 5000 };
constexpr Millis faultGap { 300 };
constexpr Millis faultDuration { 1500 };

// A fault that can be injected into a cluster and removed again.
struct InjectedFault {
    std::string name;
    std::function<void(Cluster&)> begin;
    std::function<void(Cluster&)> end;
};

const InjectedFault sidecarKilled { "sidecar killed", [](Cluster& cluster) { cluster.sidecar("z1-s1").signal(SIGKILL); }, [](Cluster& cluster) { cluster.startSidecar("z1-s1"); } };
const InjectedFault sidecarFrozen { "sidecar frozen", [](Cluster& cluster) { cluster.sidecar("z2-s1").signal(SIGSTOP); }, [](Cluster& cluster) { cluster.sidecar("z2-s1").signal(SIGCONT); } };
const InjectedFault serviceKilled { "service killed", [](Cluster& cluster) { cluster.endpoint("z3-s1").signal(SIGKILL); }, [](Cluster& cluster) { cluster.startEndpoint("z3-s1"); } };
const InjectedFault serviceFrozen { "service frozen", [](Cluster& cluster) { cluster.endpoint("z3-s1").signal(SIGSTOP); }, [](Cluster& cluster) { cluster.endpoint("z3-s1").signal(SIGCONT); } };
const InjectedFault engineTurnsCold { "engine cold", [](Cluster& cluster) { cluster.setFault("z1-m1", "cold", 0, 1); }, [](Cluster&) {} };
const InjectedFault answersLost { "order's answer lost", [](Cluster& cluster) { cluster.setFault("z1-s1", "lose", 0, 3); }, [](Cluster& cluster) { cluster.setFault("z1-s1", "none"); } };
const InjectedFault entryKilled { "entry killed", [](Cluster& cluster) { cluster.entry(1).signal(SIGKILL); }, [](Cluster& cluster) { cluster.startEntry(1); } };
const InjectedFault entryFrozen { "entry frozen", [](Cluster& cluster) { cluster.entry(2).signal(SIGSTOP); }, [](Cluster& cluster) { cluster.entry(2).signal(SIGCONT); } };
const InjectedFault platformDown { "platform down", [](Cluster& cluster) { cluster.setFault("platform", "down"); }, [](Cluster& cluster) { cluster.setFault("platform", "none"); } };
const InjectedFault platformSlow { "platform slow", [](Cluster& cluster) { cluster.setFault("platform", "slow", 700); }, [](Cluster& cluster) { cluster.setFault("platform", "none"); } };
const InjectedFault platformLosesAnswers { "platform loses answers", [](Cluster& cluster) { cluster.setFault("platform", "drop", 0, 50); }, [](Cluster& cluster) { cluster.setFault("platform", "none"); } };
const InjectedFault connectionsSilent { "connections silent", [](Cluster& cluster) { for (const std::string& name : cluster.endpointNames()) cluster.sidecarRelay(name).signal(SIGUSR1); }, [](Cluster&) {} };
const InjectedFault connectionsCut { "connections cut", [](Cluster& cluster) { for (const std::string& name : cluster.endpointNames()) cluster.sidecarRelay(name).signal(SIGUSR2); }, [](Cluster& cluster) { for (const std::string& name : cluster.endpointNames()) cluster.sidecarRelay(name).signal(SIGUSR2); } };
const InjectedFault zoneOut { "zone out", [](Cluster& cluster) { cluster.runCtl("take zone z2 out"); }, [](Cluster& cluster) { cluster.runCtl("return zone z2"); } };
const InjectedFault entryCutOff { "entry cut off from the platform", [](Cluster& cluster) { cluster.platformRelay(3).signal(SIGUSR2); }, [](Cluster& cluster) { cluster.platformRelay(3).signal(SIGUSR2); } };

// Injects two overlapping faults under load and checks afterwards that no guarantee was violated.
void runPair(const InjectedFault& first, const InjectedFault& second)
{
    CAPTURE(first.name);
    CAPTURE(second.name);
    Cluster cluster({ 3, 1, 1, true, {}, {}, {} });
    REQUIRE(cluster.waitUntilReady());
    const auto callers = cluster.startLoadGenerator(loadDuration, { "--orders", "0.6", "--lookups", "0.2" });
    std::this_thread::sleep_for(Millis(700));
    first.begin(cluster);
    std::this_thread::sleep_for(faultGap);
    second.begin(cluster);
    std::this_thread::sleep_for(faultDuration);
    first.end(cluster);
    std::this_thread::sleep_for(faultGap);
    second.end(cluster);
    REQUIRE(callers->wait(Millis(40'000)) == 0);
    const fakes::Verdict verdict = cluster.judge();
    CHECK(verdict.isClean());
    CHECK(resultCount(verdict, "order", "answered") > 0);
    // After the faults every entry serves requests again.
    for (int zone = 1; zone <= 3; ++zone) {
        const HttpResult result = cluster.call(cluster.entryAddress(zone), "GET", "/services/print/orders/1");
        CAPTURE(result.body);
        const std::string gauges = result.status == 200 ? "" : cluster.gauges();
        CAPTURE(gauges);
        CHECK(result.status == 200);
    }
}

} // namespace

TEST_CASE("pair: a sidecar is killed while the platform is down") { runPair(sidecarKilled, platformDown); }
TEST_CASE("pair: a sidecar is frozen while the platform loses answers") { runPair(sidecarFrozen, platformLosesAnswers); }
TEST_CASE("pair: connections go silent and a sidecar is killed") { runPair(connectionsSilent, sidecarKilled); }
TEST_CASE("pair: an entry is frozen while connections are cut") { runPair(entryFrozen, connectionsCut); }
TEST_CASE("pair: a sidecar and an entry are frozen together") { runPair(sidecarFrozen, entryFrozen); }
TEST_CASE("pair: a service is killed and connections go silent") { runPair(serviceKilled, connectionsSilent); }
TEST_CASE("pair: an entry is killed while the platform loses answers") { runPair(entryKilled, platformLosesAnswers); }
TEST_CASE("pair: connections are cut while the platform is slow") { runPair(connectionsCut, platformSlow); }
TEST_CASE("pair: a service is frozen while a zone leaves and returns") { runPair(serviceFrozen, zoneOut); }
TEST_CASE("pair: a zone leaves while the platform is slow") { runPair(platformSlow, zoneOut); }
TEST_CASE("pair: an entry is cut off from the platform while another is frozen") { runPair(entryCutOff, entryFrozen); }
TEST_CASE("pair: answers of orders are lost while a sidecar is frozen") { runPair(answersLost, sidecarFrozen); }
TEST_CASE("pair: an engine turns cold while connections are cut") { runPair(engineTurnsCold, connectionsCut); }
TEST_CASE("pair: a service is killed while the platform is down") { runPair(serviceKilled, platformDown); }
