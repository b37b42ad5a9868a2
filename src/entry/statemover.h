// Moves records of submissions when keys change their owner: handover among live entries, takeover of dead
// ones.
#pragma once

#include "entry/claimslog.h"
#include "entry/ownercalls.h"
#include "membership/ownership.h"
#include "membership/submissionrecordstore.h"
#include "membership/takeover.h"
#include "proto/codec.h"
#include "turmericwell/event.h"

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace turmericwell {

// Thread-safe.
class StateMover
{
public:
    struct Options
    {
        ProcessId self;
        TakeoverOptions takeover;
        Millis dedupWindow;
    };
    struct Handlers
    {
        // Returns false if this incarnation is not connected.
        std::function<bool(const ProcessId &peer, std::vector<uint8_t> frame)> sendToPeer;
        std::function<void(const std::string &agent, std::vector<uint8_t> frame)> sendToAgent;
        std::function<std::vector<std::string>()> knownAgents;
        // Records of the submissions that this entry accepted itself.
        std::function<std::vector<SubmissionRecord>()> ownRecords;
        // Fingerprints of keys whose window has passed.
        std::function<std::vector<Fingerprint>()> ownTombstones;
        std::function<void(const std::vector<Fingerprint> &keys)> takeTombstones;
        std::function<void(std::function<void(const std::optional<std::vector<ClaimBatch>> &)>)> readClaims;
        std::function<void(EventKind kind, const std::string &entry)> onEvent;
    };

    StateMover(Options options, Handlers handlers);

    void viewChanged(uint64_t view, const std::vector<EntryMember> &before,
                     const std::vector<EntryMember> &after);
    void handleHandover(const ProcessId &peer, const wire::HandoverT &handover);
    void handleRecords(const wire::RecordReplyT &reply);
    void tick(Millis now);

    KeyPlace place(const Fingerprint &key, Millis now) const;
    // Answer of a record that this entry did not accept itself; empty if there is none or it is not answered.
    std::optional<Answer> answerFor(const Fingerprint &key, uint64_t bodyHash) const;
    bool isIncomplete(const Fingerprint &key, Millis now) const;

    // Stops serving and hands everything to the members that stay; tick repeats it until each has confirmed.
    // Called once for what is still running, which this entry answers for, and again when nothing runs any
    // more.
    void beginFinalHandover();
    bool isFinalHandoverDone() const;
    size_t pendingTakeovers() const;

private:
    struct Debt
    {
        EntryMember to;
        uint64_t view = 0;
        bool final = false;
        uint32_t round = 0;
        Millis sentAt = {INT64_MIN / 4};
    };

    void beginTakeover(const ProcessId &dead, Millis now);
    void advanceTakeovers(Millis now);
    void claimsCame(const ProcessId &dead, const std::optional<std::vector<ClaimBatch>> &batches);
    void payDebts(Millis now);
    void handOver(const Debt &debt, Millis now);
    std::vector<SubmissionRecord> recordsFor(const EntryMember &member) const;
    bool sendTombstones(const Debt &debt) const;

    const Options m_options;
    const Handlers m_handlers;
    mutable std::mutex m_mutex;
    Ownership m_ownership;
    SubmissionRecordStore m_records;
    std::vector<EntryMember> m_members;
    uint64_t m_view = 0;
    // By the number of the query.
    std::map<uint64_t, Takeover> m_takeovers;
    uint64_t m_nextQuery = 1;
    std::vector<Debt> m_debts;
    uint32_t m_round = 0;
    bool m_stopping = false;
};

} // namespace turmericwell
