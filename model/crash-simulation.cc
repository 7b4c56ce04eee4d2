#include "model/crash-simulation.h"

#include <algorithm>
#include <deque>
#include <memory>
#include <random>

namespace orioletrail {

namespace detail {

    constexpr Millis step { 5 };
    constexpr Millis reportInterval { 100 };
    constexpr Millis prefillTime { 150 };
    // From the first event to the second.
    constexpr Millis answeringAfter { 30 };
    constexpr Millis answerTime { 800 };
    // A group that has lost a member cuts its work after the first time and takes more after the second.
    constexpr Millis stallTime { 1500 };
    constexpr Millis reformTime { 4600 };
    constexpr Millis clientRetryDelay { 300 };
    constexpr Millis otherCrashInterval { 7000 };
    constexpr Millis stableWindow { 3000 };
    constexpr size_t countedCrash = 5;
    constexpr uint32_t maxAttempts = 2;
    constexpr PartHash poisonPart = 999'999;
    constexpr size_t firstParts = 3;
    constexpr size_t accountParts = 10;
    constexpr size_t subjectParts = 200;
    // Bytes of a number in a report, with its separator.
    constexpr size_t numberBytes = 21;

    struct Request {
        uint64_t content = 0;
        std::vector<PartHash> parts;
        bool isPoison = false;
        bool isClientRetry = false;
        bool isLate = false;
        uint32_t attempts = 0;
        uint32_t crashes = 0;
    };

    struct Attempt {
        Request request;
        size_t entry = 0;
        size_t endpoint = 0;
        TimePoint sent;
        std::optional<TimePoint> cutAt;
        bool isAnswering = false;
        bool isDone = false;
    };

    size_t reportBytes(const CrashReport& report)
    {
        size_t numbers = 2 * report.refused.size();
        for (const EndpointCrash& crash : report.crashes) {
            numbers += 1 + crash.cleared.size();
            for (const CrashSuspect& suspect : crash.suspects)
                numbers += 1 + suspect.parts.size();
        }
        return numbers * numberBytes;
    }

    class CrashSimulation {
    public:
        explicit CrashSimulation(const CrashScenario& scenario)
            : m_scenario(scenario)
            , m_random(scenario.seed)
            , m_openAt(scenario.endpoints)
        {
            for (size_t entry = 0; entry < scenario.entries; ++entry)
                m_entries.push_back(std::make_unique<CrashParts>());
        }

        CrashFigures run()
        {
            const TimePoint start { std::chrono::hours(1) };
            m_begin = start;
            for (m_now = start; m_now < start + m_scenario.duration; m_now += step) {
                arrive(m_scenario.soundPerSecond, false);
                if (m_now - start >= m_scenario.poisonFrom)
                    arrive(m_scenario.poisonPerSecond, true);
                while (!m_retries.empty() && m_retries.front().first <= m_now) {
                    receive(std::move(m_retries.front().second));
                    m_retries.pop_front();
                }
                advance();
                if ((m_now - start) % reportInterval == Millis(0))
                    exchangeReports();
                if (m_scenario.restartAt.count() && m_now - start == m_scenario.restartAt)
                    m_entries.front() = std::make_unique<CrashParts>();
                if (m_now - start >= m_scenario.poisonFrom && (m_now - start - m_scenario.poisonFrom) % otherCrashInterval == Millis(0))
                    for (size_t i = 0; i < m_scenario.otherCrashes; ++i)
                        crash(pick(m_scenario.endpoints), false);
            }
            return m_figures;
        }

    private:
        size_t pick(size_t count) { return std::uniform_int_distribution<size_t>(0, count - 1)(m_random); }

        // A rank from 0 on, low ones more often.
        size_t pickPopular(size_t count) { return std::min(pick(count), pick(count)); }

        void arrive(double perSecond, bool isPoison)
        {
            const double mean = perSecond * std::chrono::duration<double>(step).count();
            for (int left = std::poisson_distribution<int>(mean)(m_random); left > 0; --left)
                receive(makeRequest(isPoison));
        }

        Request makeRequest(bool isPoison)
        {
            Request request;
            request.content = m_random();
            request.isPoison = isPoison;
            // Poisonous requests share their other parts with sound ones.
            request.parts = { 1 + (isPoison ? 0 : pick(firstParts)), 100 + pickPopular(accountParts), 1000 + pickPopular(subjectParts) };
            if (isPoison)
                request.parts.insert(request.parts.begin() + 1 + static_cast<std::ptrdiff_t>(pick(3)), poisonPart);
            for (size_t i = 0; i < m_scenario.newParts; ++i)
                request.parts.push_back(m_random());
            return request;
        }

        void receive(Request request)
        {
            const size_t entry = pick(m_scenario.entries);
            request.isLate = !request.isPoison && !request.isClientRetry && request.parts.front() == 1 && isLate();
            m_figures.soundLate += request.isLate;
            send(std::move(request), entry);
        }

        bool isLate() const
        {
            const size_t counted = std::min(m_crashTimes.size(), countedCrash);
            return counted && m_now - m_crashTimes[counted - 1] > 2 * stableWindow;
        }

        void send(Request request, size_t entry)
        {
            if (m_entries[entry]->isRefused(request.parts, m_now)) {
                m_figures.soundRefused += !request.isPoison;
                return;
            }
            const size_t endpoint = pick(m_scenario.endpoints);
            if (request.isPoison) {
                ++m_figures.poisonSent;
                m_figures.poisonSentLate += m_crashTimes.size() >= countedCrash && m_now - m_crashTimes[countedCrash - 1] > stableWindow;
            }
            if (m_now < m_openAt[endpoint]) {
                retryAsClient(std::move(request));
                return;
            }
            ++request.attempts;
            m_attempts.push_back({ std::move(request), entry, endpoint, m_now, std::nullopt, false, false });
        }

        void retryAsClient(Request request)
        {
            if (request.isClientRetry)
                return;
            request.isClientRetry = true;
            request.isLate = false;
            request.attempts = request.crashes = 0;
            m_retries.emplace_back(m_now + clientRetryDelay, std::move(request));
        }

        void advance()
        {
            for (size_t index = 0; index < m_attempts.size(); ++index) {
                Attempt& attempt = m_attempts[index];
                if (attempt.isDone)
                    continue;
                const auto age = m_now - attempt.sent;
                if (attempt.cutAt) {
                    if (m_now >= *attempt.cutAt)
                        cut(attempt);
                } else if (age >= prefillTime && attempt.request.isPoison) {
                    crash(attempt.endpoint, true);
                } else if (age >= prefillTime + answeringAfter && !attempt.isAnswering) {
                    attempt.isAnswering = true;
                    m_figures.soundLateBegun += attempt.request.isLate && attempt.request.attempts == 1;
                    m_entries[attempt.entry]->onAnswering(attempt.request.parts, attempt.sent, m_now);
                } else if (age >= answerTime) {
                    attempt.isDone = true;
                    m_entries[attempt.entry]->onSurvived(attempt.request.parts, m_now);
                }
            }
            std::erase_if(m_attempts, [](const Attempt& attempt) { return attempt.isDone; });
        }

        void cut(Attempt& attempt)
        {
            attempt.isDone = true;
            m_entries[attempt.entry]->onSurvived(attempt.request.parts, m_now);
            retryAsClient(attempt.request);
        }

        void crash(size_t endpoint, bool isPoison)
        {
            ++m_crashId;
            if (isPoison) {
                ++m_figures.crashes;
                m_crashTimes.push_back(m_now);
            }
            std::vector<std::pair<Request, size_t>> again;
            for (Attempt& attempt : m_attempts) {
                if (attempt.isDone)
                    continue;
                if (attempt.endpoint != endpoint) {
                    if (m_scenario.isGroup && !attempt.cutAt)
                        attempt.cutAt = m_now + stallTime;
                    continue;
                }
                attempt.isDone = true;
                CrashParts& parts = *m_entries[attempt.entry];
                if (attempt.isAnswering) {
                    parts.onSurvived(attempt.request.parts, m_now);
                } else {
                    ++attempt.request.crashes;
                    parts.onCrash(m_crashId, { attempt.request.content, attempt.request.parts }, m_now);
                }
                if (attempt.request.attempts < maxAttempts)
                    again.emplace_back(attempt.request, attempt.entry);
                else
                    retryAsClient(attempt.request);
            }
            for (size_t other = 0; other < m_openAt.size(); ++other)
                if (m_scenario.isGroup || other == endpoint)
                    m_openAt[other] = m_now + reformTime;
            for (auto& [request, entry] : again)
                send(std::move(request), entry);
        }

        void exchangeReports()
        {
            for (size_t sender = 0; sender < m_entries.size(); ++sender) {
                const CrashReport report = m_entries[sender]->report(m_now);
                m_figures.maxReportBytes = std::max(m_figures.maxReportBytes, reportBytes(report));
                m_figures.maxSuspectedParts = std::max(m_figures.maxSuspectedParts, m_entries[sender]->suspectedPartCount());
                m_figures.maxCrashes = std::max(m_figures.maxCrashes, m_entries[sender]->crashCount());
                for (size_t receiver = 0; receiver < m_entries.size(); ++receiver)
                    if (receiver != sender && !std::bernoulli_distribution(m_scenario.messageLoss)(m_random))
                        m_entries[receiver]->merge(report, m_now);
            }
        }

        CrashScenario m_scenario;
        std::mt19937_64 m_random;
        TimePoint m_begin;
        TimePoint m_now;
        std::vector<std::unique_ptr<CrashParts>> m_entries;
        // Time from which each endpoint takes requests.
        std::vector<TimePoint> m_openAt;
        std::vector<Attempt> m_attempts;
        // Retries of clients, in the order of their time.
        std::deque<std::pair<TimePoint, Request>> m_retries;
        std::vector<TimePoint> m_crashTimes;
        uint64_t m_crashId = 0;
        CrashFigures m_figures;
    };

} // namespace detail

CrashFigures simulateCrashes(const CrashScenario& scenario)
{
    return detail::CrashSimulation(scenario).run();
}

} // namespace orioletrail
