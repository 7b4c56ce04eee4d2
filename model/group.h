// A model of a group of engines that run their passes together.
#pragma once

#include "model/scenario.h"

#include <functional>
#include <map>

namespace orioletrail::model {

// Called with the stream's number.
struct GroupHooks {
    // An event of the stream has left the group.
    std::function<void(uint64_t stream)> event;
    // The stream has no more events.
    std::function<void(uint64_t stream)> finished;
};

// All ranks begin and end each pass together, and a pass lasts as long as its slowest rank takes.
// Prompts are read in pieces within passes; each pass yields one event of every stream whose prompt
// has been read. Streams beyond the slots of a rank wait there.
class EngineGroup {
public:
    EngineGroup(const EngineModel& model, GroupHooks hooks);

    void add(uint64_t stream, uint32_t rank, double promptTokens, uint32_t events);
    void remove(uint64_t stream);

    bool isIdle() const { return m_streams.empty(); }

    // Length of the pass that begins now, in milliseconds.
    double beginPass(double nowSeconds);
    void endPass();

    // How many times longer than usual the rank takes at that time.
    double slownessAt(uint32_t rank, double seconds) const;

private:
    struct Stream {
        uint32_t rank = 0;
        double promptLeft = 0;
        uint32_t eventsLeft = 0;
        bool isRunning = false;
        bool writesThisPass = false;
    };

    const EngineModel& m_model;
    GroupHooks m_hooks;
    // In the order of their arrival.
    std::map<uint64_t, Stream> m_streams;
};

// The value that holds at a time, by steps in rising order.
double valueAt(const std::vector<Step>&, double seconds);

} // namespace orioletrail::model
