// The configuration in force, computed from the records of the config stream alone, so that every reader
// agrees.
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

// The configuration in force at one version. Shared between threads, never changed.
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
    // A change that was made on another version than the one in force.
    Conflict,
    // The same change was accepted before.
    Repeated,
    // A snapshot that adds nothing, a record that was applied before, or a change whose effect is not known
    // yet because the position is not known.
    Ignored,
    // Not a configuration record.
    Invalid,
};

// One accepted change, as later conflicts name it.
struct AcceptedChange
{
    uint64_t version = 0;
    std::string id;
    std::string author;
};

// Applies records in the order of their offsets.
//
// Two things are kept apart. The replayed state is a function of the log alone: a change counts if its base
// is the replayed version at its offset, whatever its id. The state in force is the newest state that this
// reader has ever known, from the log or from a peer; its version never decreases.
//
// Invariant: while the position is known, the replayed state equals that of a reader of the whole log.
class ConfigState
{
public:
    ConfigState();

    // Records before this offset have expired. If some of them were not applied, a change among them may be
    // missing, so the position is lost until a snapshot or a peer supplies it again.
    void expiredBefore(uint64_t oldestOffset);
    // Records below nextOffset are ignored.
    RecordEffect apply(uint64_t offset, std::string_view record);
    // Takes the state of a peer. Returns true if the state in force became newer.
    bool adopt(std::string_view stateText);

    ConfigPtr current() const { return m_current; }
    uint64_t version() const { return m_current->version; }
    // False if changes that this reader has not seen may be in force.
    bool isPositionKnown() const { return m_replayed != nullptr; }
    // Offset after the last record applied.
    uint64_t nextOffset() const { return m_nextOffset; }
    // Newest accepted changes, oldest first; bounded.
    const std::deque<AcceptedChange> &history() const { return m_history; }
    // Version that the change with this id made, if it is among the history.
    std::optional<uint64_t> acceptedVersion(std::string_view id) const;

    // State for adopt.
    std::string stateText() const;
    // Snapshot record for the log. The position must be known.
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
    // Continues from a state that holds after all records below upTo.
    void continueFrom(const ConfigPtr &config, uint64_t upTo);
    void putInForce(const ConfigPtr &config);
    void remember(const Config &config);

    ConfigPtr m_current;
    // Null while the position is not known.
    ConfigPtr m_replayed;
    uint64_t m_nextOffset = 0;
    // All records from this offset on were seen by this reader, or can still be read.
    uint64_t m_firstOffset = 0;
    // Changes seen while the position is not known.
    std::vector<Change> m_waiting;
    std::deque<AcceptedChange> m_history;
};

// Builds a change record; the id depends on base, author and declarations only.
struct ChangeRecord
{
    std::string id;
    std::string text;
};
ChangeRecord makeChangeRecord(uint64_t base, std::string_view author, const Declarations &declarations);

} // namespace turmericwell
