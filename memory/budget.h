// Decides which connections of a process may hold how much memory, and which are closed when it is short.
#pragma once

#include "base/types.h"

#include <array>
#include <map>

namespace orioletrail {

// What memory is held for.
enum class MemoryKind : uint8_t {
    // What each connection needs, apart from its requests.
    Connection,
    Head,
    // The body of a request, with the copies of it on its way to an endpoint.
    Body,
    Answer,
    // Number of kinds; not a kind itself.
    Count
};

// Lower-case name of a kind in metrics and logs.
std::string_view memoryKindName(MemoryKind);

// What a connection is doing.
enum class ConnectionPhase : uint8_t {
    // Waits for the first byte of a request.
    Idle,
    // Receives a request.
    Receiving,
    // Its request is handled. Never cut off, since the request may have been sent to an endpoint.
    Running,
    // Waits for the client to take a part of the answer.
    Sending
};

// Lower-case name of a phase in metrics and logs.
std::string_view phaseName(ConnectionPhase);

struct MemorySettings {
    // Bytes that all connections may hold together.
    size_t bytes = size_t { 512 } << 20;
    // Connections that may be open at the same time.
    size_t connections = 10'000;
    // A connection without progress for this long may be cut off. Longer than TCP needs to recover from a lost packet.
    Millis stallTime { 1500 };
    // So may one that progresses more slowly than this; a request of 4 MB would take half an hour.
    size_t minBytesPerSecond = 2048;
    // A connection without a request may be closed after this long if there are too many.
    Millis minIdle { 500 };
};

struct MemoryDecision {
    enum class Kind : uint8_t {
        Granted,
        // Enough will be released by connections that are being cut off; ask again soon.
        Wait,
        Refused,
        // More than the whole budget.
        TooLarge
    };
    Kind kind = Kind::Granted;
    // Connections to cut off now. Each remains a holder until it is closed.
    std::vector<uint64_t> cutOff {};
};

// Counts bytes by connection, client address, account and in total. When they are short, for example because many
// clients send bodies without end, it cuts off connections that do not keep their pace, first those with the
// largest product of bytes and time without progress.
class MemoryBudget {
public:
    // Number of a connection.
    using Holder = uint64_t;

    explicit MemoryBudget(MemorySettings settings)
        : m_settings(settings)
    {
    }

    // Adds an idle connection from a client address, whether or not there are too many.
    Holder open(std::string client, TimePoint);
    // Removes a connection with all that it holds.
    void close(Holder);

    // Asks for memory. Only MemoryDecision::Granted counts it.
    MemoryDecision reserve(Holder, MemoryKind, size_t bytes, TimePoint);
    // As reserve(), but never cuts anything off or refuses: for memory that is in use already.
    void count(Holder, MemoryKind, size_t bytes);
    // Returns at most what the connection holds of this kind.
    void release(Holder, MemoryKind, size_t bytes);
    void setAccount(Holder, std::string_view account);

    // A new phase or progress in it takes a decision to cut the connection off back.
    void setPhase(Holder, ConnectionPhase, TimePoint);
    void onProgress(Holder, size_t bytes, TimePoint);

    // True if a connection may be accepted. Otherwise names one to close instead, if any may be closed.
    MemoryDecision mayOpen(TimePoint);

    // True if the connection has been named for cutting off and has made no progress since.
    bool isCutOff(Holder) const;
    // True unless the connection has stalled or is slower than the settings allow. Always true while its request runs.
    bool keepsPace(Holder, TimePoint) const;

    size_t used() const { return m_used; }
    size_t usedBy(MemoryKind kind) const { return m_usedByKind[static_cast<size_t>(kind)]; }
    size_t heldBy(Holder) const;
    size_t heldByClient(std::string_view client) const;
    size_t heldByAccount(std::string_view account) const;
    ConnectionPhase phase(Holder) const;
    const std::string& client(Holder holder) const { return m_connections.at(holder).client; }
    size_t connections() const { return m_connections.size(); }
    const MemorySettings& settings() const { return m_settings; }

private:
    static constexpr size_t kinds = static_cast<size_t>(MemoryKind::Count);

    struct Connection {
        std::string client;
        std::string account;
        std::array<size_t, kinds> held {};
        size_t total = 0;
        ConnectionPhase phase = ConnectionPhase::Idle;
        TimePoint phaseBegan;
        TimePoint lastProgress;
        size_t progressBytes = 0;
        bool isCutOff = false;
    };

    bool mayBeCutOff(const Connection&, TimePoint) const;
    bool hasStalled(const Connection&, TimePoint) const;
    // The most that may be held after a reservation of these bytes. Bodies and long answers leave a reserve for short
    // answers and for requests without a body.
    size_t limitFor(const Connection&, MemoryKind, size_t bytes) const;
    void add(Connection&, MemoryKind, size_t bytes);
    void subtract(Connection&, MemoryKind, size_t bytes);
    void keep(Connection&);
    void cutOff(Connection&);

    MemorySettings m_settings;
    std::map<Holder, Connection> m_connections;
    std::map<std::string, size_t, std::less<>> m_usedByClient;
    std::map<std::string, size_t, std::less<>> m_usedByAccount;
    std::array<size_t, kinds> m_usedByKind {};
    size_t m_used = 0;
    // Held by connections that are being cut off.
    size_t m_releasing = 0;
    size_t m_closing = 0;
    Holder m_lastHolder = 0;
};

} // namespace orioletrail
