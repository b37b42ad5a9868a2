// Effects of the store's calls, and how troubles change their answers.
#include "emulator/emulatedstore.h"

#include "core/overloaded.h"

#include <algorithm>

namespace turmericwell {

constexpr size_t repeatsKnown = 5;
constexpr size_t pageRecords = 500;
constexpr Millis readPollInterval = {2};
constexpr Millis leastLateness = {1'000};
constexpr Millis mostLateness = {6'000};
constexpr double joinCost = 0.1;

class StoreDoor : public StoreApi
{
public:
    StoreDoor(EmulatedStore &store, HostNumber host)
        : m_store(store)
        , m_host(host)
    { }

    void append(const AppendCall &call, Millis timeout, std::function<void(AppendAnswer)> onDone) override
    {
        carryOut<AppendAnswer>(
            timeout, 1, true, [this, call] { return m_store.append(call); }, std::move(onDone));
    }
    void read(const ReadCall &call, Millis timeout, std::function<void(ReadAnswer)> onDone) override
    {
        ++m_store.m_calls;
        const Millis now = m_store.m_events.now();
        waitForRecord(call, now + call.wait, now + timeout, m_store.m_network.lifeOf(m_host),
                      toCaller(std::move(onDone)));
    }
    void newest(const NewestCall &call, Millis timeout, std::function<void(NewestAnswer)> onDone) override
    {
        carryOut<NewestAnswer>(
            timeout, 1, false, [this, call] { return m_store.newest(call); }, std::move(onDone));
    }
    void join(const JoinCall &call, Millis timeout, std::function<void(JoinAnswer)> onDone) override
    {
        carryOut<JoinAnswer>(
            timeout, joinCost, false, [this, call] { return m_store.join(call); }, std::move(onDone));
    }
    void leave(const LeaveCall &call, Millis timeout, std::function<void(StoreStatus)> onDone) override
    {
        struct LeaveAnswer
        {
            StoreStatus status = StoreStatus::NoAnswer;
        };
        carryOut<LeaveAnswer>(
            timeout, 1, false,
            [this, call] {
                m_store.leave(call);
                return LeaveAnswer{.status = StoreStatus::Done};
            },
            [onDone = std::move(onDone)](const LeaveAnswer &answer) { onDone(answer.status); });
    }

private:
    // The answer reaches the process that has asked, if it still lives.
    template <typename Answer>
    std::function<void(Answer)> toCaller(std::function<void(Answer)> onDone)
    {
        return [this, life = m_store.m_network.lifeOf(m_host),
                onDone = std::move(onDone)](const Answer &answer) {
            m_store.m_network.postTo(m_host, life, [answer, onDone] { onDone(answer); });
        };
    }

    template <typename Answer>
    void reply(Millis delay, Answer answer, const std::function<void(Answer)> &onDone)
    {
        m_store.m_events.after(delay, [answer, onDone] { onDone(answer); });
    }

    // Half of the answer time passes before the effect.
    template <typename Answer>
    void carryOut(Millis timeout, double cost, bool isAppend, const std::function<Answer()> &effect,
                  std::function<void(Answer)> onAnswer)
    {
        const std::function<void(Answer)> onDone = toCaller(std::move(onAnswer));
        m_store.m_calls += cost;
        const Millis way = m_store.m_options.answerTime / 2;
        const Answer noAnswer{};
        std::visit(Overloaded{
                       [&](std::monostate) { perform<Answer>(way, timeout, effect, onDone); },
                       [&](const StoreRefuses &) {
                           Answer refused;
                           refused.status = StoreStatus::Refused;
                           reply<Answer>(way * 2, refused, onDone);
                       },
                       [&](const StoreIsSilent &) { reply<Answer>(timeout, noAnswer, onDone); },
                       [&](const StoreLosesAnswers &trouble) {
                           if (!isAppend || !m_store.draw(trouble.share)) {
                               perform<Answer>(way, timeout, effect, onDone);
                               return;
                           }
                           m_store.m_events.after(way, [effect] { effect(); });
                           reply<Answer>(timeout, noAnswer, onDone);
                       },
                       [&](const StoreIsLate &trouble) {
                           if (!isAppend || !m_store.draw(trouble.share)) {
                               perform<Answer>(way, timeout, effect, onDone);
                               return;
                           }
                           std::uniform_int_distribution<int64_t> lateness(leastLateness.count,
                                                                           mostLateness.count);
                           m_store.m_events.after({lateness(m_store.m_random)}, [effect] { effect(); });
                           reply<Answer>(timeout, noAnswer, onDone);
                       },
                       [&](const StoreIsSlow &trouble) {
                           perform<Answer>(way * trouble.factor, timeout, effect, onDone);
                       },
                   },
                   m_store.troubleOf(m_host));
    }

    template <typename Answer>
    void perform(Millis way, Millis timeout, const std::function<Answer()> &effect,
                 const std::function<void(Answer)> &onDone)
    {
        if (way * 2 >= timeout) {
            m_store.m_events.after(way, [effect] { effect(); });
            reply<Answer>(timeout, Answer{}, onDone);
            return;
        }
        m_store.m_events.after(way, [this, way, effect, onDone] { reply<Answer>(way, effect(), onDone); });
    }

    void waitForRecord(const ReadCall &call, Millis answerBy, Millis giveUpAt, uint64_t life,
                       std::function<void(ReadAnswer)> onDone)
    {
        const Millis now = m_store.m_events.now();
        if (m_store.m_network.lifeOf(m_host) != life)
            return;
        const StoreTrouble &trouble = m_store.troubleOf(m_host);
        if (std::holds_alternative<StoreRefuses>(trouble)) {
            ReadAnswer refused;
            refused.status = StoreStatus::Refused;
            reply<ReadAnswer>(m_store.m_options.answerTime, refused, onDone);
            return;
        }
        if (now >= giveUpAt) {
            reply<ReadAnswer>({0}, ReadAnswer{}, onDone);
            return;
        }
        const ReadAnswer answer = m_store.read(call);
        const bool isSilent = std::holds_alternative<StoreIsSilent>(trouble);
        if (!isSilent && (!answer.records.empty() || now >= answerBy)) {
            const StoreIsSlow *slow = std::get_if<StoreIsSlow>(&trouble);
            reply<ReadAnswer>(m_store.m_options.answerTime * (slow ? slow->factor : 1), answer, onDone);
            return;
        }
        m_store.m_events.after(readPollInterval,
                               [this, call, answerBy, giveUpAt, life, onDone = std::move(onDone)]() mutable {
                                   waitForRecord(call, answerBy, giveUpAt, life, std::move(onDone));
                               });
    }

    EmulatedStore &m_store;
    const HostNumber m_host;
};

EmulatedStore::EmulatedStore(EmulatedStoreOptions options, EventQueue &events, EmulatedNetwork &network)
    : m_options(options)
    , m_events(events)
    , m_network(network)
    , m_random(options.seed)
{ }

EmulatedStore::~EmulatedStore() = default;

StoreApi &EmulatedStore::doorOf(HostNumber host)
{
    std::unique_ptr<StoreApi> &door = m_doors[host];
    if (!door)
        door = std::make_unique<StoreDoor>(*this, host);
    return *door;
}

void EmulatedStore::setTrouble(StoreTrouble trouble, Millis until)
{
    m_trouble = {.trouble = trouble, .until = until};
}

void EmulatedStore::setTroubleFor(HostNumber host, StoreTrouble trouble, Millis until)
{
    m_troubles[host] = {.trouble = trouble, .until = until};
}

const StoreTrouble &EmulatedStore::troubleOf(HostNumber host) const
{
    static const StoreTrouble none;
    if (const auto found = m_troubles.find(host);
        found != m_troubles.end() && found->second.until > m_events.now())
        return found->second.trouble;
    return m_trouble.until > m_events.now() ? m_trouble.trouble : none;
}

bool EmulatedStore::draw(double share)
{
    return std::uniform_real_distribution<double>(0, 1)(m_random) < share;
}

AppendAnswer EmulatedStore::append(const AppendCall &call)
{
    Log &target = log(call.topic, call.partition);
    if (!call.producer.empty()) {
        if (call.epoch < target.epoch)
            return {.status = StoreStatus::Fenced};
        if (call.epoch > target.epoch) {
            target.epoch = call.epoch;
            target.nextSequence = call.sequence;
            target.recent.clear();
        }
        if (const auto repeated = target.recent.find(call.sequence); repeated != target.recent.end())
            return repeated->second;
        if (call.sequence != target.nextSequence)
            return {.status = StoreStatus::WrongSequence, .expectedSequence = target.nextSequence};
        ++target.nextSequence;
    }
    AppendAnswer answer{.status = StoreStatus::Done, .offset = target.end};
    for (StoreRecord record : call.records) {
        record.offset = target.end++;
        if (record.value.empty())
            target.newest.erase(record.key);
        else
            target.newest[record.key] = record;
        target.records.push_back(std::move(record));
    }
    answer.end = target.end;
    if (!call.producer.empty()) {
        target.recent[call.sequence] = answer;
        if (target.recent.size() > repeatsKnown)
            target.recent.erase(target.recent.begin());
    }
    return answer;
}

ReadAnswer EmulatedStore::read(const ReadCall &call)
{
    const Log &source = log(call.topic, call.partition);
    ReadAnswer answer{.status = StoreStatus::Done, .end = source.end};
    if (call.from < source.end)
        answer.records.assign(source.records.begin() + static_cast<std::ptrdiff_t>(call.from),
                              source.records.end());
    return answer;
}

NewestAnswer EmulatedStore::newest(const NewestCall &call)
{
    const Log &source = log(call.topic, call.partition);
    NewestAnswer answer{.status = StoreStatus::Done, .end = source.end};
    auto item = call.after.empty() ? source.newest.begin() : source.newest.upper_bound(call.after);
    for (; item != source.newest.end() && answer.records.size() < pageRecords; ++item)
        answer.records.push_back(item->second);
    answer.hasMore = item != source.newest.end();
    if (!answer.records.empty())
        answer.lastKey = answer.records.back().key;
    return answer;
}

// Each member gets an equal share; what a member has stays with it as far as its share allows.
void EmulatedStore::deal(Group &group)
{
    ++group.generation;
    group.dealt.resize(m_options.partitions);
    group.holders.resize(m_options.partitions);
    if (group.members.empty()) {
        std::fill(group.dealt.begin(), group.dealt.end(), std::string());
        return;
    }
    const size_t share = (m_options.partitions + group.members.size() - 1) / group.members.size();
    std::map<std::string, size_t> counts;
    for (std::string &member : group.dealt) {
        if (!group.members.contains(member) || ++counts[member] > share)
            member.clear();
    }
    for (std::string &member : group.dealt) {
        if (!member.empty())
            continue;
        const auto least =
            std::min_element(group.members.begin(), group.members.end(),
                             [&](const auto &a, const auto &b) { return counts[a.first] < counts[b.first]; });
        member = least->first;
        ++counts[member];
    }
}

void EmulatedStore::expireMembers(Group &group)
{
    const Millis now = m_events.now();
    const auto isExpired = [now](const auto &item) { return now - item.second.lastJoin > item.second.ttl; };
    if (std::none_of(group.members.begin(), group.members.end(), isExpired))
        return;
    std::erase_if(group.members, isExpired);
    for (std::string &holder : group.holders) {
        if (!group.members.contains(holder))
            holder.clear();
    }
    deal(group);
}

JoinAnswer EmulatedStore::join(const JoinCall &call)
{
    Group &group = m_groups[call.group];
    expireMembers(group);
    const bool isNew = !group.members.contains(call.member);
    group.members[call.member] = {.lastJoin = m_events.now(), .ttl = call.ttl};
    if (isNew)
        deal(group);
    JoinAnswer answer{.status = StoreStatus::Done, .generation = group.generation};
    for (uint32_t partition = 0; partition < group.dealt.size(); ++partition) {
        std::string &holder = group.holders[partition];
        const bool isDealt = group.dealt[partition] == call.member;
        if (holder == call.member && !isDealt && call.generation >= group.generation)
            holder.clear();
        if (isDealt && holder.empty())
            holder = call.member;
        if (isDealt && holder == call.member)
            answer.partitions.push_back(partition);
    }
    return answer;
}

void EmulatedStore::leave(const LeaveCall &call)
{
    Group &group = m_groups[call.group];
    if (group.members.erase(call.member) == 0)
        return;
    for (std::string &holder : group.holders) {
        if (holder == call.member)
            holder.clear();
    }
    deal(group);
}

void EmulatedStore::pauseMembers(Millis length)
{
    for (auto &[name, group] : m_groups) {
        for (auto &[member, state] : group.members)
            state.lastJoin += length;
    }
}

void EmulatedStore::dealAnew()
{
    for (auto &[name, group] : m_groups) {
        std::vector<std::string> members;
        for (const auto &[member, state] : group.members)
            members.push_back(member);
        if (members.empty())
            continue;
        std::shuffle(members.begin(), members.end(), m_random);
        ++group.generation;
        for (uint32_t partition = 0; partition < group.dealt.size(); ++partition)
            group.dealt[partition] = members[partition % members.size()];
    }
}

} // namespace turmericwell
