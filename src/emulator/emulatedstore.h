// The platform's store in an emulation: topics with partitions, producers with epochs, and groups that deal
// partitions to their members. Calls take time, and troubles make them fail in the ways that the real store
// can.
#pragma once

#include "emulator/emulatednetwork.h"
#include "store/storeapi.h"

#include <deque>
#include <map>
#include <set>
#include <variant>

namespace turmericwell {

// Nothing is done, and the caller is told.
struct StoreRefuses
{
};
// Calls get no answer; nothing is done.
struct StoreIsSilent
{
};
// A share of the appends is done and not answered.
struct StoreLosesAnswers
{
    double share = 0.3;
};
// A share of the appends is not answered and done some seconds later.
struct StoreIsLate
{
    double share = 0.3;
};
struct StoreIsSlow
{
    int64_t factor = 60;
};

using StoreTrouble =
    std::variant<std::monostate, StoreRefuses, StoreIsSilent, StoreLosesAnswers, StoreIsLate, StoreIsSlow>;

struct EmulatedStoreOptions
{
    uint64_t seed = 1;
    uint32_t partitions = 8;
    Millis answerTime = {4};
};

class EmulatedStore
{
public:
    EmulatedStore(EmulatedStoreOptions options, EventQueue &events, EmulatedNetwork &network);
    ~EmulatedStore();

    // The store as the process on this host sees it; answers go to the process that has asked.
    StoreApi &doorOf(HostNumber host);

    void setTrouble(StoreTrouble trouble, Millis until);
    void setTroubleFor(HostNumber host, StoreTrouble trouble, Millis until);
    // The times of the members of all groups stand still for this long.
    void pauseMembers(Millis length);
    // All partitions of all groups are dealt anew at once.
    void dealAnew();

    // Calls so far, joins as a tenth.
    double calls() const { return m_calls; }

private:
    friend class StoreDoor;

    struct Log
    {
        uint64_t end = 0;
        std::map<std::string, StoreRecord> newest;
        std::vector<StoreRecord> records;
        uint64_t epoch = 0;
        uint64_t nextSequence = 0;
        // Answers to the latest appends of the epoch, by sequence.
        std::map<uint64_t, AppendAnswer> recent;
    };

    struct Member
    {
        Millis lastJoin;
        Millis ttl;
    };

    struct Group
    {
        uint64_t generation = 0;
        std::map<std::string, Member> members;
        // Who is to have each partition, and who has it. A partition moves once its holder has let it go.
        std::vector<std::string> dealt;
        std::vector<std::string> holders;
    };

    struct ActiveTrouble
    {
        StoreTrouble trouble;
        Millis until;
    };

    // --- effects of calls ---
    AppendAnswer append(const AppendCall &call);
    ReadAnswer read(const ReadCall &call);
    NewestAnswer newest(const NewestCall &call);
    JoinAnswer join(const JoinCall &call);
    void leave(const LeaveCall &call);

    Log &log(const std::string &topic, uint32_t partition) { return m_logs[{topic, partition}]; }
    void deal(Group &group);
    void expireMembers(Group &group);
    const StoreTrouble &troubleOf(HostNumber host) const;
    bool draw(double share);

    const EmulatedStoreOptions m_options;
    EventQueue &m_events;
    EmulatedNetwork &m_network;
    std::mt19937_64 m_random;
    std::map<std::pair<std::string, uint32_t>, Log> m_logs;
    std::map<std::string, Group> m_groups;
    ActiveTrouble m_trouble;
    std::map<HostNumber, ActiveTrouble> m_troubles;
    // Kept until the end: calls of a process that is gone may still be carried out.
    std::map<HostNumber, std::unique_ptr<StoreApi>> m_doors;
    double m_calls = 0;
};

} // namespace turmericwell
