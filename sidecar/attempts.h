// What a sidecar knows of each attempt, so that a lost connection loses nothing.
#pragma once

#include "transport/message.h"

#include <deque>
#include <map>

namespace orioletrail {

struct AttemptSettings {
    // Unacknowledged bytes of one answer beyond which its sender is held back.
    size_t windowBytes = 256 * 1024;
    // How long an answer is kept for an entry that does not acknowledge it.
    Millis keepFor { 30'000 };
};

// Keeps the frames of each answer until the entry has acknowledged them, and replays them on
// a newer connection. Attempts of an entry are accepted only on its newest connection, so a
// copy that comes late on an older one is never run.
class AttemptTable {
public:
    explicit AttemptTable(const AttemptSettings& settings = {})
        : m_settings(settings)
    {
    }

    // Registers a connection of an entry. Returns the number of the connection that it
    // replaces, 0 if there is none, or nothing if a newer connection is known.
    std::optional<uint64_t> hello(uint64_t entry, uint64_t connection);

    // True if the attempt is new and came on the newest connection of its entry.
    bool open(const AttemptId&, uint64_t connection);

    // Numbers a frame and keeps it. Nothing if the attempt is unknown or has ended.
    std::optional<Frame> append(const AttemptId&, Frame, TimePoint);

    // Drops acknowledged frames.
    void ack(const AttemptId&, uint32_t next);

    // Frames from `next` on. For an unknown attempt, one Failed frame: NotRun if it was never
    // opened here, which also closes it, or MayHaveRun if it may have been forgotten.
    std::vector<Frame> resume(const AttemptId&, uint32_t next);

    // True if the sender of an answer has to wait for acknowledgements.
    bool isWindowFull(const AttemptId&) const;

    // Forgets answers that were kept too long.
    void expire(TimePoint);

    // Attempts that have not been acknowledged to the end.
    size_t unfinished() const { return m_attempts.size(); }

private:
    struct Attempt {
        std::deque<Frame> frames;
        size_t bytes = 0;
        uint32_t next = 0;
        bool ended = false;
        TimePoint endedAt;
    };

    struct EntryState {
        uint64_t connection = 0;
        // Attempts of requests up to this number may have been forgotten.
        uint64_t forgottenUpTo = 0;
    };

    AttemptSettings m_settings;
    std::map<AttemptId, Attempt> m_attempts;
    std::map<uint64_t, EntryState> m_entries;
};

} // namespace orioletrail
