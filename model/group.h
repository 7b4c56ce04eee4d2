// Simulates a group of engines that run their passes in lock-step.
#pragma once

#include "model/scenario.h"

#include <functional>
#include <map>

namespace orioletrail::model {

// Callbacks, called with the identifier that the stream was added under.
struct GroupCallbacks {
    // The stream produced an event.
    std::function<void(uint64_t stream)> onEvent;
    // The stream produced its last event and was removed.
    std::function<void(uint64_t stream)> onFinished;
};

// All ranks begin and end each pass together, so a pass lasts as long as the slowest rank takes.
// Prompts are prefilled in chunks, spread over passes. Each pass produces one event of every stream
// whose prompt has been prefilled. Streams beyond the slots of a rank are queued there.
class EngineGroup {
public:
    EngineGroup(const EngineModel& model, GroupCallbacks callbacks);

    // Adds a stream that produces `events` events. Its prompt begins with the shared part of this number; a
    // rank need not read a part that it holds when it begins to read the prompt.
    void add(uint64_t stream, uint32_t rank, double promptTokens, uint32_t events, uint64_t part = 0, double partTokens = 0);
    // Removes a stream that was cancelled.
    void remove(uint64_t stream);

    bool isIdle() const { return m_streams.empty(); }

    // Prompt tokens that all ranks have read.
    double tokensRead() const { return m_tokensRead; }

    // Begins a pass and returns its duration in milliseconds.
    double beginPass(double nowSeconds);
    // Ends the pass: calls back for each event, and for each stream that has finished.
    void endPass();

    // Slowness factor of the rank at that time: its time for a step relative to normal.
    double slownessAt(uint32_t rank, double seconds) const;

private:
    struct Stream {
        uint32_t rank = 0;
        double promptTokensLeft = 0;
        uint32_t eventsLeft = 0;
        uint64_t part = 0;
        double partTokens = 0;
        bool isRunning = false;
        // It has begun to read its prompt, from its own part on if the rank held the shared one.
        bool hasBegun = false;
        // It produces an event at the end of the current pass.
        bool emitsEvent = false;
    };

    // True if the rank has read the part and a stream there still has it, or had it recently.
    bool holdsPart(uint32_t rank, uint64_t part, double nowSeconds) const;

    const EngineModel& m_model;
    GroupCallbacks m_callbacks;
    // By identifier, which is the order of arrival.
    std::map<uint64_t, Stream> m_streams;
    // Time at which a stream that has the part ran last at a rank that has read it, in seconds.
    std::map<std::pair<uint32_t, uint64_t>, double> m_partsUsed;
    double m_tokensRead = 0;
};

// The value of a schedule at the given time. Its entries must be in ascending order of time; the
// first value also applies before its time.
double valueAt(const std::vector<ScheduledValue>&, double seconds);

} // namespace orioletrail::model
