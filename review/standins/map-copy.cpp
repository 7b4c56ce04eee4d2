// A group of 24 engines with a sidecar beside each, and two entries, one of which leads the expert maps. Engines leave
// a part of the orders unanswered and carry them out seconds later, and send a second copy of a few of their answers to
// clients late: where the next response on that connection is due. Checks MAP.
#include "world.hpp"

#include <boost/json/src.hpp>
#include <memory>

using namespace standin;

namespace {

constexpr int ranks = 24;
constexpr int sets = 4;
constexpr int experts = 72;
constexpr int places = 8;
constexpr int spare = 3;
constexpr int expertCopyMillis = 98;
constexpr int passMillis = 22;
constexpr int eventsPerStream = 12;
constexpr int clients = 36;
constexpr int durationMillis = 95'000;
// Share of the engines that copy, share of their answers to clients that are copied, share of the orders that are late.
constexpr int copyingEngines = 14;
constexpr double copiedShare = 0.03;
constexpr double lateShare = 0.35;
constexpr Millis troublePeriod { 6000 };
constexpr Millis copiesDuration { 5000 };
constexpr Millis lateDuration { 5500 };
// The traffic comes in waves. Between them only a few clients are active.
constexpr Millis waveDuration { 700 };
constexpr Millis wavePeriod { 2000 };
constexpr int steadyClients = 2;
// How long the group is observed after the first pass with different maps.
constexpr Millis observedAfterBreak { 4000 };
constexpr int popularityMillis = 2000;

struct Rank {
    uint64_t fence = 0;
    uint64_t highestVersion = 0;
    uint64_t map = 0;
    uint64_t preparing = 0;
    std::optional<uint64_t> prepared;
    Clock::time_point preparedAt;
    std::optional<std::pair<uint64_t, uint64_t>> armed;
    std::optional<uint64_t> held;
    uint64_t seq = 0;
    int active = 0;
    std::vector<double> counts = std::vector<double>(sets * experts);
    // Experts by set, of the map in use and of the one that is prepared.
    json::array lists;
    json::array preparedLists;
};

class Group {
public:
    explicit Group(Record& record)
        : m_record(record)
        , m_ranks(ranks)
    {
        for (int rank = 0; rank < ranks; ++rank)
            for (int set = 0; set < sets; ++set) {
                json::array list;
                for (int expert = rank; expert < experts; expert += ranks)
                    list.emplace_back(expert);
                m_ranks[rank].lists.push_back(std::move(list));
            }
        drawPopularity();
    }

    void start()
    {
        std::thread([this] { runPasses(); }).detach();
    }

    int brokenPasses()
    {
        std::lock_guard lock(m_mutex);
        return m_brokenPasses;
    }

    // True some seconds after the first pass with different maps.
    bool isOver()
    {
        std::lock_guard lock(m_mutex);
        return m_firstBroken && Clock::now() - *m_firstBroken > observedAfterBreak;
    }

    int switches()
    {
        std::lock_guard lock(m_mutex);
        return m_switches;
    }

    std::string report(int number)
    {
        std::lock_guard lock(m_mutex);
        Rank& rank = m_ranks[number];
        update(rank);
        json::object body { { "stage", "both" }, { "busy", rank.preparing != 0 }, { "seq", rank.seq }, { "queued", 0 }, { "active", rank.active }, { "kv_used", 1000 }, { "kv_total", 280000 }, { "handles", 0 },
            { "pace", 1 }, { "born", 1'700'000'000'000 }, { "size", ranks }, { "step", m_step }, { "map", rank.map } };
        body["models"] = json::array { json::object { { "name", "m" }, { "version", 1 }, { "adapters", json::array() } } };
        body["group"] = json::object { { "name", "g1" }, { "epoch", 1 }, { "rank", number }, { "state", "open" } };
        body["prepared"] = nullptr;
        if (rank.prepared)
            body["prepared"] = *rank.prepared;
        body["armed"] = nullptr;
        if (rank.armed)
            body["armed"] = json::object { { "version", rank.armed->first }, { "step", rank.armed->second } };
        body["held"] = nullptr;
        if (rank.held)
            body["held"] = *rank.held;
        return json::serialize(body);
    }

    std::string picked(int number, bool withLists)
    {
        std::lock_guard lock(m_mutex);
        Rank& rank = m_ranks[number];
        update(rank);
        json::object body { { "step", m_step }, { "epoch", 1 } };
        if (withLists) {
            body["map"] = json::object { { "version", rank.map }, { "experts", rank.lists } };
            body["prepared"] = nullptr;
        } else {
            json::array counts;
            for (const double count : rank.counts)
                counts.emplace_back(static_cast<uint64_t>(count));
            body["counts"] = std::move(counts);
        }
        return json::serialize(body);
    }

    int order(int number, const json::object& order, bool isLate)
    {
        std::lock_guard lock(m_mutex);
        const int status = apply(m_ranks[number], number, order);
        m_record.write("order rank " + std::to_string(number) + (isLate ? " carried out late: " : ": ") + text(order) + " -> " + std::to_string(status) + (isLate ? " (not answered)" : ""));
        m_wake.notify_all();
        return status;
    }

    static std::string text(const json::object& order)
    {
        std::string text(order.at("op").as_string());
        for (const char* field : { "version", "step", "fence" })
            if (const json::value* value = order.if_contains(field))
                text += std::string(" ") + field + ' ' + json::serialize(*value);
        return text;
    }

    // Waits for the next pass, in which a stream gets its next event.
    void awaitPass()
    {
        std::unique_lock lock(m_mutex);
        const uint64_t step = m_step;
        m_passed.wait_for(lock, Millis(1500), [&] { return m_step > step; });
    }

    void onActive(int number, int change)
    {
        std::lock_guard lock(m_mutex);
        m_ranks[number].active += change;
        m_active += change;
        m_wake.notify_all();
    }

private:
    static uint64_t field(const json::object& order, const char* name)
    {
        const json::value* value = order.if_contains(name);
        return value && value->is_number() ? value->to_number<uint64_t>() : 0;
    }

    // Completes a copy whose time has passed.
    static void update(Rank& rank)
    {
        if (rank.preparing && Clock::now() >= rank.preparedAt) {
            rank.prepared = rank.preparing;
            rank.preparing = 0;
        }
    }

    int apply(Rank& rank, int number, const json::object& order)
    {
        constexpr int accepted = 202;
        constexpr int holds = 200;
        constexpr int conflict = 409;
        update(rank);
        const std::string op(order.at("op").as_string());
        const uint64_t version = field(order, "version");
        const uint64_t step = field(order, "step");
        if (field(order, "epoch") != 1)
            return conflict;
        if (field(order, "fence") < rank.fence)
            return 412;
        rank.fence = field(order, "fence");
        if (op == "prepare") {
            if (rank.prepared == version || rank.preparing == version)
                return holds;
            if (version <= rank.highestVersion || rank.armed)
                return conflict;
            return prepare(rank, number, version, order) ? accepted : conflict;
        }
        if (op == "arm") {
            if (rank.armed == std::pair(version, step))
                return holds;
            if (rank.prepared != version || step <= m_step)
                return conflict;
            rank.armed = std::pair(version, step);
            ++rank.seq;
            return accepted;
        }
        if (op == "disarm") {
            if (version == rank.map)
                return conflict;
            if (!rank.armed || rank.armed->first != version)
                return holds;
            rank.armed.reset();
            ++rank.seq;
            return accepted;
        }
        if (op == "hold") {
            if (rank.held == step)
                return holds;
            if (rank.held || step <= m_step)
                return conflict;
            rank.held = step;
            ++rank.seq;
            return accepted;
        }
        if (op == "go") {
            if (rank.held != step)
                return holds;
            rank.held.reset();
            ++rank.seq;
            return accepted;
        }
        return 400;
    }

    bool prepare(Rank& rank, int number, uint64_t version, const json::object& order)
    {
        json::array lists;
        int copies = 0;
        const json::array& map = order.at("map").as_array();
        for (int set = 0; set < sets; ++set) {
            const json::array& list = map.at(set).as_array().at(number).as_array();
            int added = 0;
            for (const json::value& expert : list) {
                bool isKnown = false;
                for (const json::value& held : rank.lists.at(set).as_array())
                    isKnown = isKnown || held.to_number<int>() == expert.to_number<int>();
                added += !isKnown;
            }
            if (added > spare || list.size() > places)
                return false;
            copies += added;
            lists.push_back(list);
        }
        rank.highestVersion = version;
        rank.prepared.reset();
        rank.preparing = version;
        rank.preparedAt = Clock::now() + Millis(copies * expertCopyMillis);
        rank.preparedLists = std::move(lists);
        ++rank.seq;
        return true;
    }

    void runPasses()
    {
        auto popularUntil = Clock::now() + Millis(popularityMillis);
        while (true) {
            {
                std::unique_lock lock(m_mutex);
                // An idle group makes no passes, and a held one does not begin the pass at which it is held.
                m_wake.wait(lock, [this] { return m_active > 0 && !isHeld(); });
                beginPass();
                if (Clock::now() > popularUntil) {
                    drawPopularity();
                    popularUntil = Clock::now() + Millis(popularityMillis);
                }
            }
            m_passed.notify_all();
            sleepFor(passMillis);
        }
    }

    bool isHeld() const
    {
        for (const Rank& rank : m_ranks)
            if (rank.held == m_step + 1)
                return true;
        return false;
    }

    void beginPass()
    {
        ++m_step;
        bool hasSwitched = false;
        for (Rank& rank : m_ranks) {
            if (rank.armed && rank.armed->second == m_step) {
                rank.map = rank.armed->first;
                rank.lists = rank.preparedLists;
                rank.armed.reset();
                hasSwitched = true;
            }
            for (int set = 0; set < sets; ++set)
                for (int expert = 0; expert < experts; ++expert)
                    rank.counts[set * experts + expert] += m_popularity[set * experts + expert] * rank.active;
        }
        m_switches += hasSwitched;
        bool isMixed = false;
        for (const Rank& rank : m_ranks)
            isMixed = isMixed || rank.map != m_ranks.front().map;
        if (isMixed && (hasSwitched || !m_wasMixed)) {
            std::string maps;
            for (const Rank& rank : m_ranks)
                maps += ' ' + std::to_string(rank.map);
            m_record.write("BROKEN MAP pass " + std::to_string(m_step) + " begins, maps by rank:" + maps);
        }
        m_brokenPasses += isMixed;
        if (isMixed && !m_firstBroken)
            m_firstBroken = Clock::now();
        m_wasMixed = isMixed;
    }

    // A few experts of each set are chosen more often than the others.
    void drawPopularity()
    {
        static std::mt19937_64 random { std::random_device {}() };
        m_popularity.assign(sets * experts, 4);
        for (int set = 0; set < sets; ++set)
            for (int hot = 0; hot < 9; ++hot)
                m_popularity[set * experts + random() % experts] += 400.0 / (1 + hot);
    }

    Record& m_record;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::condition_variable m_passed;
    std::vector<Rank> m_ranks;
    std::vector<double> m_popularity;
    uint64_t m_step = 0;
    int m_active = 0;
    int m_brokenPasses = 0;
    int m_switches = 0;
    bool m_wasMixed = false;
    std::optional<Clock::time_point> m_firstBroken;
};

class Engine {
public:
    Engine(int rank, std::string id, Group& group, Record& record)
        : m_rank(rank)
        , m_id(std::move(id))
        , m_group(group)
        , m_record(record)
    {
    }

    bool start(const std::string& ip, int port)
    {
        return m_listener.start(ip, port, [this](Connection& connection) { serve(connection); });
    }

private:
    void serve(Connection& connection)
    {
        std::string copy;
        Request request;
        while (connection.readRequest(request)) {
            if (!copy.empty()) {
                m_record.write("extra rank " + std::to_string(m_rank) + " a second copy of the previous answer, before the answer to " + request.method + ' ' + request.path());
                if (!connection.write(copy))
                    return;
                copy.clear();
            }
            if (request.path() == "/orioletrail/report") {
                if (!connection.write(jsonAnswerOf(200, m_group.report(m_rank))))
                    return;
            } else if (request.path() == "/orioletrail/picked") {
                if (!connection.write(jsonAnswerOf(200, m_group.picked(m_rank, !request.query("lists").empty()))))
                    return;
            } else if (request.path() == "/orioletrail/order") {
                if (!serveOrder(connection, request))
                    return;
            } else if (request.path() == "/health") {
                if (!connection.write(answerOf(200, { { "X-Replica-Id", m_id } }, "")))
                    return;
            } else if (!serveStream(connection, request, copy)) {
                return;
            }
        }
    }

    bool serveOrder(Connection& connection, const Request& request)
    {
        boost::system::error_code error;
        const json::value body = json::parse(request.body, error);
        if (error || !body.is_object() || !body.get_object().contains("op"))
            return connection.write(jsonAnswerOf(400, "{}"));
        const json::object order = body.get_object();
        if (hasTrouble("late") && isWithinWindow(lateDuration, troublePeriod) && chance(lateShare)) {
            static thread_local std::mt19937_64 random { std::random_device {}() };
            const int delay = 2000 + static_cast<int>(random() % 10'000);
            m_record.write("order rank " + std::to_string(m_rank) + ": " + Group::text(order) + " not answered, to be carried out in " + std::to_string(delay) + " ms");
            std::thread([this, order, delay] {
                sleepFor(delay);
                m_group.order(m_rank, order, true);
            }).detach();
            // Nothing more is answered on this connection.
            Request ignored;
            while (connection.readRequest(ignored)) { }
            return false;
        }
        return connection.write(jsonAnswerOf(m_group.order(m_rank, order, false), "{}"));
    }

    bool serveStream(Connection& connection, const Request& request, std::string& copy)
    {
        const std::string id = request.header("X-Request-Id");
        if (request.header("X-Expect-Replica") != m_id)
            return connection.write(answerOf(421, { { "X-Request-Id", id }, { "X-Not-Run", "1" } }, ""));
        m_group.onActive(m_rank, 1);
        std::string whole = headOf(200, { { "Content-Type", "text/event-stream" }, { "Transfer-Encoding", "chunked" }, { "X-Request-Id", id }, { "X-Reply-Stamp", "stamp." + m_id + '.' + id } });
        bool isOpen = connection.write(whole);
        const std::string from = request.header("Last-Event-Id");
        for (int event = from.empty() ? 1 : atoi(from.c_str()) + 1; isOpen && event <= eventsPerStream; ++event) {
            m_group.awaitPass();
            const std::string text = "id: " + std::to_string(event) + "\ndata: token\n\n";
            char size[16];
            snprintf(size, sizeof size, "%zx\r\n", text.size());
            const std::string chunk = size + text + "\r\n";
            whole += chunk;
            isOpen = connection.write(chunk);
        }
        m_group.onActive(m_rank, -1);
        whole += "0\r\n\r\n";
        if (!isOpen || !connection.write("0\r\n\r\n"))
            return false;
        if (hasTrouble("copies") && m_rank < copyingEngines && isWithinWindow(copiesDuration, troublePeriod) && chance(copiedShare))
            copy = whole;
        return true;
    }

    int m_rank;
    std::string m_id;
    Group& m_group;
    Record& m_record;
    Listener m_listener;
};

json::object configuration()
{
    json::object route { { "name", "draft" }, { "host", "app.example" }, { "path_prefix", "/draft/" }, { "kind", "stream" }, { "resumable", true }, { "sticky", true }, { "service", "wording" }, { "timeout_ms", 8000 }, { "goal_ms", 500 }, { "gap_goal_ms", 33 }, { "priority", 1 }, { "max_attempts", 2 } };
    json::object engine { { "slots", 12 }, { "stride", 4 }, { "step_ms", 4.55 }, { "per_seq_ms", 0.905 }, { "report_lag_ms", 200 }, { "expert_share", 0.85 }, { "sets", sets }, { "experts", experts }, { "places", places }, { "spare", spare }, { "expert_mb", 2200 }, { "link_mbps", 180000 } };
    json::object service { { "name", "wording" }, { "health_path", "/health" }, { "max_conns", 278 } };
    service["engine"] = std::move(engine);
    json::object limits { { "max_header_bytes", 16384 }, { "max_body_bytes", 1048576 }, { "header_timeout_ms", 5000 }, { "idle_timeout_ms", 15000 } };
    json::object main { { "version", 1 } };
    main["routes"] = json::array { std::move(route) };
    main["services"] = json::array { std::move(service) };
    main["tenants"] = json::array { json::object { { "name", "bakery" }, { "api_keys", json::array { "key1" } } } };
    main["limits"] = std::move(limits);
    return main;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc < 3)
        return 2;
    signal(SIGPIPE, SIG_IGN);
    Record record(argv[1]);
    const Addresses addresses;
    Programs programs(addresses, argv[2]);
    Store store;
    if (!store.start(addresses.node(250), addresses.store()))
        return 2;
    Group group(record);
    group.start();
    std::vector<std::unique_ptr<Engine>> engines;
    for (int rank = 0; rank < ranks; ++rank) {
        const std::string id = "i-" + newId();
        const std::string zone = "z" + std::to_string(1 + rank % 3);
        engines.push_back(std::make_unique<Engine>(rank, id, group, record));
        const std::string ip = addresses.node(100 + rank);
        const std::string app = ip + ':' + std::to_string(addresses.app());
        if (!engines.back()->start(ip, addresses.app()))
            return 2;
        store.put("servers", id, json::object { { "service", "wording" }, { "addr", app }, { "zone", zone }, { "version", "1" }, { "slots", 12 }, { "state", "ready" }, { "cold_left_ms", 0 }, { "seq", 1 }, { "born", 1'700'000'000'000 }, { "stage", "both" } });
        programs.startSidecar(100 + rank, zone, "wording", app);
    }
    store.put("config", "main", configuration());
    programs.startEntry(1, "z1");
    programs.startEntry(2, "z2");
    if (!programs.waitUntilReady(1, 15'000) || !programs.waitUntilReady(2, 15'000))
        return 2;
    std::atomic<int> whole = 0;
    std::atomic<int> other = 0;
    std::vector<std::thread> threads;
    const auto until = Clock::now() + Millis(durationMillis);
    for (int client = 0; client < clients; ++client) {
        threads.emplace_back([&, client] {
            // The share of the connections of each entry is uneven.
            const std::string ip = addresses.node(client % 7 ? 1 : 2);
            std::unique_ptr<Connection> connection;
            while (Clock::now() < until && !group.isOver()) {
                if (client >= steadyClients && !isWithinWindow(waveDuration, wavePeriod)) {
                    sleepFor(20);
                    continue;
                }
                if (!connection) {
                    const int fd = Connection::connectTo(ip, addresses.front());
                    if (fd < 0)
                        continue;
                    connection = std::make_unique<Connection>(fd);
                    connection->setTimeout(9000);
                }
                const std::string id = newId();
                connection->write("POST /draft/" + id + " HTTP/1.1\r\nHost: app.example\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: 8000\r\nAuthorization: Token key1\r\nX-Model: m\r\nX-Token-Counts: 700,48\r\nX-Prompt-Prefix: 5c1e07a2:40," + id + ":660\r\nContent-Length: 5\r\n\r\nlabel");
                const Response response = connection->readResponse();
                const bool isWhole = response.isComplete && response.status == 200;
                ++(isWhole ? whole : other);
                record.write("stream " + id + " answered " + std::to_string(response.status) + (isWhole ? " whole" : ""));
                if (!response.isComplete || !strcasecmp(response.header("Connection").c_str(), "close"))
                    connection.reset();
                sleepFor(isWhole ? 10 : 200);
            }
        });
    }
    for (std::thread& thread : threads)
        thread.join();
    sleepFor(500);
    const std::string summary = "summary: " + std::to_string(whole) + " whole streams, " + std::to_string(other) + " others, " + std::to_string(group.switches()) + " passes with a switch of map, " + std::to_string(group.brokenPasses()) + " passes with different maps";
    record.write(summary);
    puts(summary.c_str());
    programs.end();
    finish(whole < 50 || !group.switches() ? 2 : group.brokenPasses() ? 1
                                                                      : 0);
}
