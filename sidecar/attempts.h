// Buffers the answer of each attempt, so that it survives the loss of a connection.
#pragma once

#include "transport/message.h"

#include <deque>
#include <map>

namespace orioletrail {

struct AttemptSettings {
    // Unacknowledged bytes of one answer from which on reading from the endpoint pauses.
    size_t windowBytes = 256 * 1024;
    // How long a complete answer is kept for an entry that does not acknowledge it.
    Millis retention { 30'000 };
};

// Keeps the frames of each answer until the entry has acknowledged them, and replays them on a
// newer connection. Attempts are accepted only on the newest connection of their entry, so that
// a duplicate delayed on an older connection is not run.
class AttemptTable {
public:
    explicit AttemptTable(const AttemptSettings& settings = {})
        : m_settings(settings)
    {
    }

    // Registers a connection. Entries number their connections from 1 on. Returns the number of
    // the connection that it replaces, 0 if it is the entry's first, or nothing if the entry
    // already has the same or a newer connection.
    std::optional<uint64_t> registerConnection(uint64_t entry, uint64_t connection);

    // Adds an attempt. Returns false if it is known already, or did not arrive on the newest
    // connection of its entry.
    bool open(const AttemptId&, uint64_t connection);

    // Numbers a frame, keeps it and returns it. Returns nothing if the attempt is unknown or its
    // last frame was appended before.
    std::optional<Frame> append(const AttemptId&, Frame, TimePoint);

    // Drops the frames before number `next`, and the attempt once its last frame is dropped.
    void ack(const AttemptId&, uint32_t next);

    // Frames from `next` on. For an unknown attempt, one Failed frame: NotRun if it was never
    // opened here, which also closes it, or MayHaveRun if it may have been forgotten.
    std::vector<Frame> resume(const AttemptId&, uint32_t next);

    // Whether reading the answer has to pause until the entry acknowledges frames.
    bool isWindowFull(const AttemptId&) const;

    // Drops attempts that ended longer ago than the retention time.
    void expire(TimePoint);

    // Number of attempts whose last frame has not been acknowledged.
    size_t unacknowledged() const { return m_attempts.size(); }

private:
    struct Attempt {
        std::deque<Frame> frames;
        // Total size of the data in `frames`.
        size_t bytes = 0;
        // Number of the frame to be appended next.
        uint32_t next = 0;
        bool ended = false;
        TimePoint endedAt;
    };

    struct EntryState {
        uint64_t connection = 0;
        // Highest request number of an attempt that expire() has dropped. An unknown attempt of
        // this or a lower number may have been dropped too.
        uint64_t expiredUpTo = 0;
    };

    AttemptSettings m_settings;
    std::map<AttemptId, Attempt> m_attempts;
    std::map<uint64_t, EntryState> m_entries;
};

} // namespace orioletrail
