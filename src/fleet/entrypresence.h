// An entry's record of the other entries: which may own partitions, and when each of them was last heard of.
// Performs no input or output; the caller passes the time.
//
// Only the store knows who owns a partition. An entry that does not reach it may go on as an owner for as
// long as each other entry tells it that it has not taken a partition over; a majority does not suffice,
// because the store assigns partitions to whoever reaches it. A new owner knows from the same rule by when a
// former owner that it cannot reach has given up.
#pragma once

#include "turmericwell/millis.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace turmericwell {

class EntryPresence
{
public:
    // An answer to a ping shows for this long that the entry has not taken over a partition: an entry reports
    // the partitions that it opens before it answers the next ping.
    static constexpr Millis evidenceAge = {1'000};
    // An owner goes on for at most this long after its last join of the group. Bounds how long a new owner
    // waits for a former one that may not know of it.
    static constexpr Millis withoutStoreLimit = {20'000};
    // An entry that has been unreachable for this long is marked as lost in the member list. If it is still
    // alive, it registers again.
    static constexpr Millis expiry = {6'000};

    explicit EntryPresence(Millis memberTtl);

    // Called when a registration of another entry has been read.
    void registered(const std::string &name, Millis now);
    // Called when a registration that is marked as lost has been read, or a removal. A connection refutes it.
    // knewWriter: the lost entry knew the one that wrote the mark, and had not heard it for `expiry`. Without
    // the store it has then given up, also if the mark was read much later, by a process that it never knew.
    void lost(const std::string &name, bool knewWriter, Millis now);
    // True if the entry has answered since it can have read the registration of this process.
    bool knowsThisEntry(const std::string &name) const;
    // Called when the registration of this process has been read, and when it has been read that it is lost.
    void selfRegistered(Millis now);
    void selfLost() { m_selfRegisteredAt.reset(); }
    bool isSelfRegistered() const { return m_selfRegisteredAt.has_value(); }

    void connected(const std::string &name, Millis now);
    void disconnected(const std::string &name, Millis now);
    // Called when the entry has answered a ping that was sent after this entry's report. Its own report has
    // been handled before.
    void answered(const std::string &name, Millis pingSentAt);

    // The entries that are not lost and have not answered a ping that was sent after this time.
    std::vector<std::string> unheardSince(Millis time) const;
    bool isEachHeardSince(Millis time) const;
    // Returns the time from which no former owner of a partition, which this entry opened at the given time,
    // keeps its runs alive at an agent that this entry cannot reach.
    Millis formerOwnersEnd(Millis openedAt) const;
    // Registered entries that have been unreachable for at least `expiry`, with the time since their last
    // contact.
    std::vector<std::pair<std::string, Millis>> unreachable(Millis now) const;

private:
    struct Entry;
    bool knowsThisEntry(const Entry &entry) const;

    struct Entry
    {
        bool connected = false;
        // When the mark was read that the entry is lost. Reset by a newer registration and by a connection;
        // an entry without the mark may take partitions over.
        std::optional<Millis> lostAt;
        // The mark was written by an entry that the lost one knew.
        bool lostKnewWriter = false;
        // Time of the last registration, connection or disconnection.
        Millis lastContact;
        // When this entry sent the newest ping that the other one has answered; 0 if none.
        Millis heardAt;
    };

    // A former owner that knows of this entry gives up within this time after this entry has opened the
    // partition: its membership lapses, and this entry's last answer to it is too old.
    const Millis m_knownEntryLimit;
    std::map<std::string, Entry> m_entries;
    // Since when the other entries that read the member list know this process.
    std::optional<Millis> m_selfRegisteredAt;
};

} // namespace turmericwell
