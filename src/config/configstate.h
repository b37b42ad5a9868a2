// Computes the configuration in force from the records of the config stream alone, so that all readers reach
// the same result.
#pragma once

#include "config/declarations.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmericwell {

// One version of the configuration. Immutable, since it is shared between threads.
struct Config
{
    uint64_t version = 0;
    std::string changeId;
    std::string author;
    Declarations declarations;
};

using ConfigPtr = std::shared_ptr<const Config>;

enum class RecordEffect : uint8_t {
    Accepted,
    // A change whose base is not the replayed version.
    Conflict,
    // A change with this id was accepted before.
    Repeated,
    // A snapshot that adds nothing, a record that was applied before, or a change that cannot be decided yet
    // because the position is not known.
    Ignored,
    // Not a configuration record.
    Invalid,
};

// An accepted change, as reported to the author of a later conflicting change.
struct AcceptedChange
{
    uint64_t version = 0;
    std::string id;
    std::string author;
};

// Applies records in the order of their offsets.
//
// Holds two separate states. The replayed state is a function of the log alone: a change is accepted if its
// base equals the replayed version at its offset, regardless of its id. The state in force is the newest
// state that this reader has received from the log or from a peer; its version never decreases.
//
// The position is known while no record that determines the replayed state is missing.
//
// Invariant: while the position is known, the replayed state equals that of a reader of the whole log.
class ConfigState
{
public:
    ConfigState();

    // Call when the records before this offset have expired. If any of them was not applied, an accepted
    // change may be missing, so the position is unknown until a snapshot or a peer supplies it again.
    void expiredBefore(uint64_t oldestOffset);
    // Applies one record; records below nextOffset are ignored.
    RecordEffect apply(uint64_t offset, std::string_view record);
    // Applies a state received from a peer. Returns true if the version in force increased.
    bool adopt(std::string_view stateText);

    ConfigPtr current() const { return m_current; }
    uint64_t version() const { return m_current->version; }
    // False if changes that this reader has not read may be in force.
    bool isPositionKnown() const { return m_replayed != nullptr; }
    // Offset after the last record applied.
    uint64_t nextOffset() const { return m_nextOffset; }
    // The most recent accepted changes, oldest first; limited in number.
    const std::deque<AcceptedChange> &history() const { return m_history; }
    // Version created by the change with this id, if the change is in the history.
    std::optional<uint64_t> acceptedVersion(std::string_view id) const;

    // Serialized state in force, to be passed to adopt by a peer.
    std::string stateText() const;
    // Snapshot record of the replayed state, to be appended to the log. The position must be known.
    std::string snapshotRecord() const;

private:
    struct Change
    {
        uint64_t offset = 0;
        uint64_t base = 0;
        std::shared_ptr<const Config> config;
    };

    RecordEffect applyChange(uint64_t offset, const boost::json::object &record);
    RecordEffect applySnapshot(uint64_t offset, const boost::json::object &record);
    RecordEffect replay(const Change &change);
    // Resumes the replay from the state that results from all records below upTo.
    void continueFrom(const ConfigPtr &config, uint64_t upTo);
    void putInForce(const ConfigPtr &config);
    void remember(const Config &config);

    ConfigPtr m_current;
    // Null while the position is not known.
    ConfigPtr m_replayed;
    uint64_t m_nextOffset = 0;
    // This reader has read all records from this offset on, or can still read them.
    uint64_t m_firstOffset = 0;
    // Changes read while the position is not known; replayed once it is.
    std::vector<Change> m_waiting;
    std::deque<AcceptedChange> m_history;
};

struct ChangeRecord
{
    std::string id;
    std::string text;
};
// The id depends only on base, author and declarations, so repeating a change yields the same id.
ChangeRecord makeChangeRecord(uint64_t base, std::string_view author, const Declarations &declarations);

} // namespace turmericwell
