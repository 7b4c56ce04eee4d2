// Requests that crash each endpoint that runs them, and sound ones that are lost for other reasons.
#include "fakes/fake.h"
#include "tests/cluster.h"
#include "tests/direct-cluster.h"

#include <algorithm>
#include <atomic>
#include <boost/json.hpp>
#include <csignal>
#include <doctest/doctest.h>
#include <mutex>
#include <thread>

using namespace orioletrail;
using namespace orioletrail::tests;

namespace {

constexpr Millis crashDelay { 60 };
constexpr Millis stableWindow { 3000 };
// Retries later than `stableWindow` after the third crash that are allowed.
constexpr int maxLateRetries = 3;

// Starts endpoints of the service "print" again that have ended.
class Supervisor {
public:
    Supervisor(DirectCluster& cluster, Millis downTime)
        : m_thread([this, &cluster, downTime] { run(cluster, downTime); })
    {
    }

    ~Supervisor()
    {
        m_isOver = true;
        m_thread.join();
    }

    Supervisor(const Supervisor&) = delete;
    Supervisor& operator=(const Supervisor&) = delete;

private:
    void run(DirectCluster& cluster, Millis downTime)
    {
        std::map<std::string, TimePoint> endedAt;
        while (!m_isOver) {
            for (const std::string& name : cluster.names()) {
                if (!name.starts_with('p') || !cluster.endpoint(name).wait(Millis(1)))
                    continue;
                if (Clock::now() - endedAt.try_emplace(name, Clock::now()).first->second < downTime)
                    continue;
                endedAt.erase(name);
                cluster.startEndpoint(name);
                cluster.registerEndpoint(name);
            }
            std::this_thread::sleep_for(Millis(20));
        }
    }

    std::atomic<bool> m_isOver = false;
    std::thread m_thread;
};

struct CrashScenario {
    int entries = 2;
    // Copies that are sent at once in each round, at the entries in turn.
    int copies = 4;
    bool isIdempotent = false;
    // All copies have one id.
    bool hasOneId = false;
};

struct CrashFigures {
    int crashes = 0;
    int lateRetries = 0;
    int soundSent = 0;
    int soundAnswered = 0;
    int soundRefusedForGood = 0;
    int popularSent = 0;
    int popularAnswered = 0;
};

// Sends the same request in rounds, and sound ones beside it: each another one, and one that all send.
CrashFigures playCrashes(DirectCluster& cluster, const CrashScenario& scenario)
{
    constexpr int rounds = 4;
    constexpr Millis roundTime { 4500 };
    constexpr Millis soundPause { 40 };
    CrashFigures figures;
    std::atomic<bool> isOver = false;
    std::atomic<int> sent = 0, answered = 0, refusedForGood = 0, popularSent = 0, popularAnswered = 0;
    {
        const Supervisor supervisor(cluster, Millis(1500));
        std::vector<std::thread> soundCallers;
        soundCallers.reserve(static_cast<size_t>(scenario.entries));
        for (int entry = 0; entry < scenario.entries; ++entry)
            soundCallers.emplace_back([&, entry] {
                for (int number = 0; !isOver; ++number) {
                    const bool isPopular = number % 2;
                    const std::string id = "sound-" + std::to_string(entry) + '-' + std::to_string(number);
                    const auto result = cluster.call("GET", isPopular ? "/lookup/popular" : "/lookup/" + id, id, {}, entry);
                    const bool isAnswered = result.status == 200;
                    (isPopular ? popularSent : sent) += 1;
                    (isPopular ? popularAnswered : answered) += isAnswered;
                    refusedForGood += result.status == 422;
                    std::this_thread::sleep_for(soundPause);
                }
            });
        std::this_thread::sleep_for(Millis(500));
        for (int round = 0; round < rounds; ++round) {
            const TimePoint began = Clock::now();
            std::vector<std::thread> callers;
            callers.reserve(static_cast<size_t>(scenario.copies));
            for (int copy = 0; copy < scenario.copies; ++copy)
                callers.emplace_back([&, copy] {
                    const std::string id = scenario.hasOneId ? "deadly" : "deadly-" + std::to_string(round) + '-' + std::to_string(copy);
                    cluster.call(scenario.isIdempotent ? "GET" : "POST", scenario.isIdempotent ? "/lookup/crash" : "/once/crash", id, { { "X-Deadline-Ms", "600" } }, copy % scenario.entries);
                });
            for (std::thread& caller : callers)
                caller.join();
            std::this_thread::sleep_until(began + roundTime);
        }
        isOver = true;
        for (std::thread& caller : soundCallers)
            caller.join();
    }
    // Runs by endpoint, in the order of time.
    std::map<std::string, std::vector<int64_t>> runs;
    for (const auto& line : cluster.records())
        if (line.at("what").as_string() == "run" && std::string_view(line.at("target").as_string()).ends_with("/crash"))
            runs[std::string(line.at("name").as_string())].push_back(line.at("at").as_int64());
    std::vector<int64_t> crashes;
    std::vector<int64_t> all;
    for (auto& [name, times] : runs) {
        std::optional<int64_t> crash;
        for (const int64_t time : times) {
            all.push_back(time);
            // Runs that begin before the process has ended.
            if (crash && time <= *crash + 500)
                continue;
            crash = time + crashDelay.count();
            crashes.push_back(*crash);
        }
    }
    std::sort(crashes.begin(), crashes.end());
    figures.crashes = static_cast<int>(crashes.size());
    if (crashes.size() >= 3)
        figures.lateRetries = static_cast<int>(std::count_if(all.begin(), all.end(), [&](int64_t time) { return time > crashes[2] + stableWindow.count(); }));
    figures.soundSent = sent;
    figures.soundAnswered = answered;
    figures.soundRefusedForGood = refusedForGood;
    figures.popularSent = popularSent;
    figures.popularAnswered = popularAnswered;
    return figures;
}

std::unique_ptr<DirectCluster> makeCluster(int entries)
{
    DirectClusterOptions options;
    options.plainEndpoints = 6;
    options.crashDelay = crashDelay;
    auto cluster = std::make_unique<DirectCluster>(options);
    for (int entry = 1; entry < entries; ++entry)
        cluster->startEntry(entry);
    for (int entry = 0; entry < entries; ++entry)
        REQUIRE(cluster->waitUntilReady(entry));
    for (const std::string& name : cluster->names())
        if (name.starts_with('p'))
            cluster->setFault(name, "slow", 10);
    return cluster;
}

} // namespace

// Fails if the copies of a request that crash endpoints at once count as one crash, or if sound requests that are lost
// with it are refused as if they had caused the crashes.
TEST_CASE("crash: a request that crashes endpoints reaches few more after the third crash, however many copies come at once")
{
    const std::vector<CrashScenario> scenarios { { 1, 1, false, false }, { 1, 6, false, true }, { 2, 4, false, false }, { 2, 3, true, true }, { 4, 12, true, false } };
    std::vector<std::unique_ptr<DirectCluster>> clusters;
    clusters.reserve(scenarios.size());
    for (const CrashScenario& scenario : scenarios)
        clusters.push_back(makeCluster(scenario.entries));
    std::vector<CrashFigures> figures(scenarios.size());
    std::vector<std::thread> plays;
    plays.reserve(scenarios.size());
    for (size_t play = 0; play < scenarios.size(); ++play)
        plays.emplace_back([&, play] { figures[play] = playCrashes(*clusters[play], scenarios[play]); });
    for (std::thread& play : plays)
        play.join();
    for (size_t play = 0; play < scenarios.size(); ++play) {
        const CrashScenario& scenario = scenarios[play];
        const CrashFigures& figure = figures[play];
        MESSAGE(scenario.entries << " entries, " << scenario.copies << " copies: " << figure.crashes << " crashes, " << figure.lateRetries << " late retries; sound: " << figure.soundAnswered << " of " << figure.soundSent
                                 << " answered, popular: " << figure.popularAnswered << " of " << figure.popularSent << ", refused for good: " << figure.soundRefusedForGood);
        CHECK(figure.crashes >= 3);
        CHECK(figure.lateRetries <= maxLateRetries);
        CHECK(figure.soundRefusedForGood == 0);
    }
}

// Fails if a sound request is refused because the endpoints that ran its copies ended together.
TEST_CASE("crash: a sound request is served again after its endpoints ended together, the more so if it has completed before")
{
    constexpr int rounds = 3;
    for (const int entries : { 2, 4 }) {
        for (const bool hasCompleted : { true, false }) {
            CAPTURE(entries);
            CAPTURE(hasCompleted);
            const auto cluster = makeCluster(entries);
            const std::string target = "/lookup/label";
            if (hasCompleted)
                REQUIRE(cluster->call("GET", target, "before").status == 200);
            for (int round = 0; round < rounds; ++round) {
                for (const std::string& name : cluster->names())
                    cluster->setFault(name, "slow", 3000);
                std::vector<std::thread> callers;
                callers.reserve(8);
                for (int copy = 0; copy < 8; ++copy)
                    callers.emplace_back([&, copy] { cluster->call("GET", target, "copy-" + std::to_string(round) + '-' + std::to_string(copy), { { "X-Deadline-Ms", "600" } }, copy % entries); });
                std::this_thread::sleep_for(Millis(200));
                // The whole service first, then a zone.
                for (const std::string& name : cluster->names())
                    if (name.starts_with('p') && (!round || name == "p1" || name == "p2"))
                        cluster->endpoint(name).signal(SIGKILL);
                for (std::thread& caller : callers)
                    caller.join();
                for (const std::string& name : cluster->names()) {
                    if (name.starts_with('p') && cluster->endpoint(name).wait(Millis(20))) {
                        cluster->startEndpoint(name);
                        cluster->registerEndpoint(name);
                    }
                    cluster->setFault(name, "none");
                }
                for (int entry = 0; entry < entries; ++entry)
                    REQUIRE(waitUntil([&] { return cluster->call("GET", "/lookup/other", "other", {}, entry).status == 200; }));
                std::this_thread::sleep_for(Millis(300));
                bool wasAnswered = hasCompleted || round;
                for (int entry = 0; entry < entries; ++entry) {
                    CAPTURE(round);
                    CAPTURE(entry);
                    const HttpResult result = cluster->call("GET", target, "after-" + std::to_string(round) + '-' + std::to_string(entry), {}, entry);
                    // Until the first answer, only some entries try it.
                    if (wasAnswered)
                        CHECK(result.status == 200);
                    else
                        CHECK((result.status == 200 || (result.status == 503 && result.body.find("\"run\":\"not-run\"") != std::string::npos)));
                    wasAnswered = wasAnswered || result.status == 200;
                    std::this_thread::sleep_for(Millis(300));
                }
                CHECK(wasAnswered);
            }
        }
    }
}

// Fails if the copies that crash endpoints at once behind sidecars count as one crash.
TEST_CASE("crash: behind sidecars a request that is sent many times at once crashes few more endpoints after the first copies")
{
    constexpr int copies = 6;
    constexpr int rounds = 3;
    Cluster cluster({ 3, 2, 1, false, { "--crash-word", "CRASH" }, {}, {} });
    REQUIRE(cluster.waitUntilReady());
    const std::string body = R"({"model":"labels","messages":[{"role":"user","content":"CRASH"}]})";
    const auto countCrashed = [&] {
        int crashed = 0;
        for (const std::string& name : cluster.endpointNames()) {
            if (name.find("-m") == std::string::npos || !cluster.endpoint(name).wait(Millis(20)))
                continue;
            ++crashed;
            cluster.startEndpoint(name);
        }
        return crashed;
    };
    int first = 0;
    int later = 0;
    for (int round = 0; round < rounds; ++round) {
        std::vector<std::thread> callers;
        callers.reserve(copies);
        for (int copy = 0; copy < copies; ++copy)
            callers.emplace_back([&, copy] { cluster.call(cluster.entryAddress(1 + copy % 3), "POST", "/v1/chat/completions", body, { { "X-Request-Id", "c-" + std::to_string(round) + '-' + std::to_string(copy) }, { "X-Deadline-Ms", "2000" } }); });
        for (std::thread& caller : callers)
            caller.join();
        std::this_thread::sleep_for(Millis(1500));
        (round ? later : first) += countCrashed();
        // Until the endpoints are probed and used again.
        std::this_thread::sleep_for(Millis(1500));
    }
    MESSAGE(first << " crashes in the first round, " << later << " later");
    CHECK(first >= 2);
    CHECK(later <= maxLateRetries);
    const std::string sound = R"({"model":"labels","messages":[{"role":"user","content":"label"}]})";
    CHECK(cluster.call(cluster.entryAddress(1), "POST", "/v1/chat/completions", sound).status == 200);
}
