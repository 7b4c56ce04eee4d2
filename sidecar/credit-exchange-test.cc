// The exchange of credits between a sidecar and the links of entries, without a network.
#include "admission/credits.h"
#include "admission/link-credits.h"
#include "sidecar/attempts.h"
#include "transport/message.h"

#include <deque>
#include <doctest/doctest.h>
#include <random>

using namespace orioletrail;

namespace {

constexpr uint32_t limit = 16;
constexpr uint64_t entryCount = 3;

// A connection delivers messages once and in order, so they are lost only with their connection. Either end
// may notice the end of a connection first; what is under way then still arrives at the other one.
struct Wire {
    uint64_t entry = 0;
    uint64_t number = 0;
    bool knownAtEntry = true;
    bool knownAtSidecar = false;
    std::deque<Message> toSidecar;
    std::deque<Message> toEntry;
};

struct EntryEnd {
    LinkCredits credits;
    // Index of the current connection in Exchange::wires, or nothing.
    std::optional<size_t> wire;
    uint64_t connectionNumber = 0;
    uint32_t demand = 0;
    uint32_t waiting = 0;
    std::vector<uint64_t> opened;
};

struct Exchange {
    explicit Exchange(uint64_t seed)
        : random(seed)
    {
        pool.setLimit(limit);
        for (uint64_t entry = 0; entry < entryCount; ++entry)
            connect(entry);
    }

    uint64_t draw(uint64_t below) { return random() % below; }

    void connect(uint64_t entry)
    {
        EntryEnd& end = entries[entry];
        if (end.wire)
            return;
        end.wire = wires.size();
        Wire wire;
        wire.entry = entry;
        wire.number = ++end.connectionNumber;
        wires.push_back(wire);
        wires.back().toSidecar.emplace_back(Hello { entry + 1, end.connectionNumber, "", "", "" });
        if (end.demand)
            wires.back().toSidecar.emplace_back(CreditDemand { end.demand });
    }

    void send(EntryEnd& end, const Message& message)
    {
        if (end.wire)
            wires[*end.wire].toSidecar.push_back(message);
    }

    void updateDemand(EntryEnd& end)
    {
        if (end.demand == end.waiting)
            return;
        end.demand = end.waiting;
        send(end, CreditDemand { end.demand });
    }

    void open(uint64_t entry)
    {
        EntryEnd& end = entries[entry];
        if (!end.wire || !end.waiting || !end.credits.available())
            return;
        end.credits.onUsed();
        OpenAttempt open;
        // Sometimes an attempt arrives again, as after a lost connection.
        const bool isCopy = !end.opened.empty() && !draw(8);
        open.id = { entry + 1, isCopy ? end.opened[draw(end.opened.size())] : ++nextRequest, 0 };
        if (!isCopy) {
            end.opened.push_back(open.id.request);
            --end.waiting;
        }
        send(end, open);
        updateDemand(end);
    }

    void loseAtEntry(uint64_t entry)
    {
        EntryEnd& end = entries[entry];
        if (!end.wire)
            return;
        Wire& wire = wires[*end.wire];
        wire.knownAtEntry = false;
        wire.toEntry.clear();
        // Messages at the end of the queue may not have been written.
        wire.toSidecar.resize(wire.toSidecar.size() - draw(wire.toSidecar.size() + 1));
        end.credits.onDisconnected();
        end.wire.reset();
    }

    void loseAtSidecar(size_t index)
    {
        Wire& wire = wires[index];
        if (!wire.knownAtSidecar)
            return;
        wire.knownAtSidecar = false;
        wire.toSidecar.clear();
        wire.toEntry.resize(wire.toEntry.size() - draw(wire.toEntry.size() + 1));
        pool.disconnect(index);
        rebalance();
    }

    void rebalance()
    {
        for (const CreditChange& change : pool.rebalance()) {
            const auto credits = static_cast<uint32_t>(std::abs(change.credits));
            Wire& wire = wires[change.connection];
            if (!wire.knownAtEntry)
                lost[change.connection] += change.credits > 0 ? credits : 0;
            else if (change.credits > 0)
                wire.toEntry.emplace_back(GrantCredits { credits });
            else
                wire.toEntry.emplace_back(RecallCredits { credits });
        }
    }

    void receiveAtSidecar(size_t index)
    {
        if (wires[index].toSidecar.empty())
            return;
        const Message message = std::move(wires[index].toSidecar.front());
        wires[index].toSidecar.pop_front();
        if (const auto* hello = std::get_if<Hello>(&message)) {
            if (!attempts.registerConnection(hello->entryIncarnation, hello->connection))
                return;
            wires[index].knownAtSidecar = true;
            pool.connect(index);
            for (size_t other = 0; other < wires.size(); ++other)
                if (other != index && wires[other].entry == wires[index].entry)
                    loseAtSidecar(other);
        } else if (!wires[index].knownAtSidecar) {
            return;
        } else if (const auto* open = std::get_if<OpenAttempt>(&message)) {
            const bool runs = pool.tryOpen(index) == Reason::None;
            if (runs && attempts.open(open->id, wires[index].number))
                ++running;
            else if (runs)
                pool.finish();
        } else if (const auto* demand = std::get_if<CreditDemand>(&message)) {
            pool.setDemand(index, demand->credits);
        } else if (const auto* returned = std::get_if<ReturnCredits>(&message)) {
            pool.returnCredits(index, returned->credits);
        }
        rebalance();
    }

    void receiveAtEntry(uint64_t entry)
    {
        EntryEnd& end = entries[entry];
        if (!end.wire || wires[*end.wire].toEntry.empty())
            return;
        const Message message = std::move(wires[*end.wire].toEntry.front());
        wires[*end.wire].toEntry.pop_front();
        if (const auto* grant = std::get_if<GrantCredits>(&message))
            end.credits.onGranted(grant->credits);
        else if (const auto* recall = std::get_if<RecallCredits>(&message))
            send(end, ReturnCredits { end.credits.onRecalled(recall->credits) });
    }

    void finish()
    {
        if (!running)
            return;
        --running;
        pool.finish();
        rebalance();
    }

    // Credits of a connection in the entry's link and on their way in either direction.
    uint32_t known(size_t index) const
    {
        const Wire& wire = wires[index];
        uint32_t credits = entries.at(wire.entry).wire == index ? entries.at(wire.entry).credits.available() : 0;
        for (const Message& message : wire.toEntry)
            if (const auto* grant = std::get_if<GrantCredits>(&message))
                credits += grant->credits;
        for (const Message& message : wire.toSidecar) {
            if (const auto* returned = std::get_if<ReturnCredits>(&message))
                credits += returned->credits;
            credits += std::holds_alternative<OpenAttempt>(message);
        }
        return credits;
    }

    void check() const
    {
        uint32_t held = 0;
        for (size_t index = 0; index < wires.size(); ++index) {
            held += pool.held(index);
            if (wires[index].knownAtSidecar && wires[index].knownAtEntry)
                REQUIRE(pool.held(index) == known(index));
            if (!wires[index].knownAtSidecar)
                REQUIRE(pool.held(index) == 0);
        }
        REQUIRE(pool.held() == held);
        REQUIRE(pool.inFlight() == running);
    }

    std::mt19937_64 random;
    CreditPool pool;
    AttemptTable attempts;
    std::vector<Wire> wires;
    std::map<uint64_t, EntryEnd> entries;
    // Grants on connections that the entry has closed.
    std::map<uint64_t, uint32_t> lost;
    uint32_t running = 0;
    uint64_t nextRequest = 0;
};

void step(Exchange& exchange)
{
    const uint64_t entry = exchange.draw(entryCount);
    EntryEnd& end = exchange.entries[entry];
    switch (exchange.draw(16)) {
    case 0:
        exchange.loseAtEntry(entry);
        break;
    case 1:
        exchange.loseAtSidecar(exchange.draw(exchange.wires.size()));
        break;
    case 2:
    case 3:
        exchange.connect(entry);
        break;
    case 4:
        end.waiting += static_cast<uint32_t>(exchange.draw(8));
        exchange.updateDemand(end);
        break;
    case 5:
        exchange.pool.setLimit(exchange.draw(2) ? 0 : limit);
        exchange.rebalance();
        break;
    case 6:
        exchange.finish();
        break;
    case 7:
    case 8:
        exchange.open(entry);
        break;
    case 9:
    case 10:
    case 11:
        exchange.receiveAtEntry(entry);
        break;
    default:
        exchange.receiveAtSidecar(exchange.draw(exchange.wires.size()));
    }
}

} // namespace

TEST_CASE("the credits that a pool counts as held are in the links or under way, also when connections are lost")
{
    for (uint64_t seed = 1; seed <= 200; ++seed) {
        CAPTURE(seed);
        Exchange exchange(seed);
        for (int i = 0; i < 600; ++i) {
            step(exchange);
            exchange.check();
        }
    }
}

TEST_CASE("an entry that wants one credit gets it from entries that hold all and use none")
{
    for (uint64_t seed = 1; seed <= 200; ++seed) {
        CAPTURE(seed);
        Exchange exchange(seed);
        for (int i = 0; i < 600; ++i)
            step(exchange);
        exchange.pool.setLimit(limit);
        for (size_t index = 0; index < exchange.wires.size(); ++index)
            if (!exchange.wires[index].knownAtEntry)
                exchange.loseAtSidecar(index);
        const auto deliver = [&] {
            exchange.rebalance();
            for (size_t index = 0; index < exchange.wires.size(); ++index)
                for (int i = 0; i < 4; ++i)
                    exchange.receiveAtSidecar(index);
            for (uint64_t entry = 0; entry < entryCount; ++entry) {
                if (exchange.entries[entry].wire && !exchange.wires[*exchange.entries[entry].wire].knownAtSidecar && exchange.wires[*exchange.entries[entry].wire].toSidecar.empty())
                    exchange.loseAtEntry(entry);
                exchange.connect(entry);
                exchange.receiveAtEntry(entry);
            }
            exchange.finish();
        };
        // Every attempt that waits runs, then one entry after the other wants one credit.
        for (int round = 0; round < 600; ++round) {
            deliver();
            for (uint64_t entry = 0; entry < entryCount; ++entry)
                exchange.open(entry);
        }
        for (uint64_t entry = 0; entry < entryCount; ++entry) {
            EntryEnd& end = exchange.entries[entry];
            CHECK(end.waiting == 0);
            end.waiting = limit;
            exchange.updateDemand(end);
            for (int round = 0; round < 60; ++round)
                deliver();
            CHECK(end.credits.available() == limit);
            end.waiting = 0;
            exchange.updateDemand(end);
            exchange.check();
        }
    }
}
