#include "model/request-crash-simulation.h"

#include "retry/suspect-trials.h"

#include <algorithm>
#include <random>

namespace orioletrail {

namespace detail {

    constexpr TimePoint start { std::chrono::hours(1) };

    PoisonRecords makeRecords()
    {
        PoisonSettings settings;
        settings.refuseAfter = 3;
        return PoisonRecords(settings);
    }

    // Plays a minute of requests at entries that restart, are cut off and added, and endpoints that end because of one
    // request or together for another reason, in steps of 10 ms.
    class CrashDay {
    public:
        CrashDay(uint64_t seed, const RequestCrashScenario& scenario)
            : m_scenario(scenario)
            , m_random(static_cast<std::mt19937::result_type>(seed))
            , m_poisonFrom(3000 + static_cast<int>(m_random() % 12'000))
        {
            for (int entry = 0; entry < m_scenario.entries; ++entry)
                addEntry();
            m_endpoints.resize(4 + m_random() % 4);
        }

        void play()
        {
            for (m_now = 0; m_now < 60'000; m_now += step) {
                disturb();
                if (m_now >= m_poisonFrom && m_scenario.copies && m_random() % static_cast<unsigned>(m_scenario.roundMs) < step)
                    receiveCopies("poison", m_scenario.copies, m_scenario.attempts);
                if (chance(150))
                    receiveCopies("popular", 1, 2);
                if (chance(150))
                    receiveCopies("sound-" + std::to_string(++m_soundCount), m_scenario.soundCopies, 2);
                endAttempts();
                if (m_now % 100 == 0)
                    exchange();
            }
        }

        const RequestCrashFigures& figures() const { return m_figures; }

    private:
        static constexpr int step = 10;
        static constexpr int stableMs = 3000;

        struct EntryState {
            std::string name;
            PoisonRecords records;
            SuspectTrials trials;
            int disturbedAt = -stableMs;
            int cutUntil = 0;
        };

        struct EndpointState {
            uint64_t process = 0;
            int upFrom = 0;
            // The process ends without closing its connections.
            bool isSilent = false;
        };

        struct Attempt {
            std::string request;
            size_t entry = 0;
            size_t endpoint = 0;
            uint64_t process = 0;
            int sentAt = 0;
            int endsAt = 0;
            int attemptsLeft = 0;
            int lostAt = 0;
            std::string trial {};
        };

        void addEntry()
        {
            const std::string name = "e" + std::to_string(m_entries.size());
            m_entries.push_back({ name, makeRecords(), SuspectTrials(name), m_now ? m_now : -stableMs });
        }

        void receiveCopies(const std::string& request, int copies, int attempts)
        {
            const size_t first = pickEntry();
            for (int copy = 0; copy < copies; ++copy)
                receive(request, (first + static_cast<size_t>(copy)) % m_entries.size(), attempts);
        }

        bool chance(unsigned perMille) { return m_random() % 1000 < perMille; }
        size_t pickEntry() { return m_random() % m_entries.size(); }

        // The caller is known by its key and by its account, which changes every 9 s.
        std::vector<std::string> digestsOf(const std::string& request) const { return { request + "/key", request + "/account-" + std::to_string(m_now / 9000) }; }

        TimePoint time(int millis) const { return start + Millis(millis); }

        void disturb()
        {
            if (chance(2) && m_scenario.hasRestarts) {
                EntryState& entry = m_entries[pickEntry()];
                entry.records = makeRecords();
                entry.trials = SuspectTrials(entry.name);
                entry.disturbedAt = m_now;
            }
            if (chance(2)) {
                EntryState& entry = m_entries[pickEntry()];
                entry.cutUntil = m_now + 4000;
            }
            if (m_now == 30'000)
                addEntry();
            if (m_now % 8000 == 7990)
                for (size_t endpoint = 0; endpoint < m_endpoints.size() / (m_scenario.endsAll ? 1 : 2); ++endpoint)
                    crash(endpoint);
        }

        void crash(size_t endpoint)
        {
            EndpointState& state = m_endpoints[endpoint];
            if (state.upFrom > m_now)
                return;
            ++state.process;
            state.upFrom = m_now + 3200;
            state.isSilent = chance(300);
        }

        void receive(const std::string& request, size_t entry, int attemptsLeft)
        {
            EntryState& state = m_entries[entry];
            const std::vector<std::string> digests = digestsOf(request);
            const bool isPoison = request == "poison";
            m_figures.sound += !isPoison;
            const SuspectDecision decision = state.trials.decide(state.records, digests, time(m_now));
            if (decision != SuspectDecision::Run) {
                (decision == SuspectDecision::Refuse ? m_figures.soundRefused : m_figures.soundHeld) += !isPoison;
                return;
            }
            const size_t endpoint = m_random() % m_endpoints.size();
            if (m_endpoints[endpoint].upFrom > m_now)
                return;
            const bool isStable = m_now - state.disturbedAt >= stableMs && m_now - state.cutUntil >= stableMs;
            m_figures.sent += isPoison;
            m_figures.sentLate += isPoison && isStable && m_thirdCrash && m_now - *m_thirdCrash > stableMs;
            m_attempts.push_back({ request, entry, endpoint, m_endpoints[endpoint].process, m_now, m_now + (isPoison ? 100 : 30), attemptsLeft - 1, 0, state.trials.onBegun(state.records, digests, time(m_now)) });
        }

        void endAttempts()
        {
            std::vector<Attempt> open;
            std::swap(open, m_attempts);
            for (Attempt& attempt : open) {
                if (attempt.process != m_endpoints[attempt.endpoint].process) {
                    onLost(attempt);
                } else if (m_now < attempt.endsAt) {
                    m_attempts.push_back(attempt);
                } else if (attempt.request == "poison") {
                    crash(attempt.endpoint);
                    if (++m_poisonCrashes == 3)
                        m_thirdCrash = m_now;
                    onLost(attempt);
                } else {
                    m_entries[attempt.entry].trials.onEnded(attempt.trial);
                    for (const std::string& digest : digestsOf(attempt.request))
                        m_entries[attempt.entry].records.onCompleted(digest, time(m_now));
                }
            }
        }

        // The caller's second try reaches another entry.
        void onLost(Attempt& attempt)
        {
            if (!attempt.lostAt)
                attempt.lostAt = m_now;
            // A silent end is known once the registration has lapsed. The attempt lasted until its deadline, and there is
            // no time left for another one.
            const bool isSilent = m_endpoints[attempt.endpoint].isSilent;
            if (isSilent && m_now - attempt.lostAt < 3600) {
                m_attempts.push_back(attempt);
                return;
            }
            m_entries[attempt.entry].trials.onEnded(attempt.trial);
            for (const std::string& digest : digestsOf(attempt.request))
                m_entries[attempt.entry].records.onDeath(digest, { attempt.endpoint * 1000 + attempt.process, time(attempt.sentAt), time(attempt.lostAt) }, time(m_now));
            if (isSilent)
                return;
            if (attempt.attemptsLeft)
                receive(attempt.request, attempt.entry, attempt.attemptsLeft);
            else if (!attempt.request.starts_with("sound") || chance(500))
                receive(attempt.request, pickEntry(), 1);
        }

        void exchange()
        {
            for (EntryState& from : m_entries) {
                for (EntryState& to : m_entries) {
                    if (&from == &to || from.cutUntil > m_now || to.cutUntil > m_now)
                        continue;
                    to.trials.onInstance(from.name, time(m_now));
                    for (const PoisonEvidence& evidence : from.records.report(time(m_now)))
                        to.records.merge(evidence, time(m_now));
                }
            }
        }

        RequestCrashScenario m_scenario;
        std::mt19937 m_random;
        int m_poisonFrom;
        int m_now = 0;
        std::vector<EntryState> m_entries;
        std::vector<EndpointState> m_endpoints;
        std::vector<Attempt> m_attempts;
        int m_soundCount = 0;
        int m_poisonCrashes = 0;
        std::optional<int> m_thirdCrash;
        RequestCrashFigures m_figures;
    };

} // namespace detail

RequestCrashFigures simulateRequestCrashes(uint64_t seed, const RequestCrashScenario& scenario)
{
    detail::CrashDay day(seed, scenario);
    day.play();
    return day.figures();
}

} // namespace orioletrail
