// The configuration in force, computed from the records of the config stream alone, so that every reader
// agrees.
#pragma once

#include "config/declarations.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

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
    // The same change is already in force or was before.
    Repeated,
    // A snapshot that adds nothing, or a record before the first usable snapshot.
    Ignored,
    // Not a configuration record.
    Invalid,
};

// Applies records in the order of their offsets. The version never decreases.
class ConfigState
{
public:
    ConfigState();

    // firstOffset: the reader has seen every record from this offset on.
    void startReadingAt(uint64_t firstOffset);
    RecordEffect apply(uint64_t offset, std::string_view record);
    // Takes a newer state that a peer has computed. Returns false if it is not newer.
    bool adopt(std::string_view stateText);

    ConfigPtr current() const { return m_current; }
    uint64_t version() const { return m_current->version; }
    // Offset after the last record applied.
    uint64_t nextOffset() const { return m_nextOffset; }
    // State for adopt, and the snapshot record for the log.
    std::string stateText() const;
    std::string snapshotRecord() const;

private:
    RecordEffect applyChange(const boost::json::object &record);
    RecordEffect applySnapshot(uint64_t offset, const boost::json::object &record);

    ConfigPtr m_current;
    uint64_t m_nextOffset = 0;
    uint64_t m_firstOffset = 0;
    // False until the state is known: a log that starts at offset 0, or a usable snapshot.
    bool m_hasBase = true;
};

// Builds a change record; the id depends on base, author and declarations only.
struct ChangeRecord
{
    std::string id;
    std::string text;
};
ChangeRecord makeChangeRecord(uint64_t base, std::string_view author, const Declarations &declarations);

} // namespace turmericwell
