// Parsing and matching of faults.
#include "standin/faultset.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>

namespace turmericwell {

namespace json = boost::json;

static constexpr std::array<std::string_view, 6> kindNames = {"delay",     "drop",     "reset",
                                                              "half_open", "truncate", "lose_answer"};

static std::string readText(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    return value && value->is_string() ? std::string(std::string_view(value->get_string())) : std::string();
}

static int64_t readCount(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    boost::system::error_code error;
    return value && value->is_number() ? value->to_number<int64_t>(error) : 0;
}

std::string FaultSet::add(const json::object &object, Millis now)
{
    Fault fault;
    const auto kind = std::find(kindNames.begin(), kindNames.end(), readText(object, "kind"));
    if (kind == kindNames.end())
        return "kind must be delay, drop, reset, half_open, truncate or lose_answer";
    fault.kind = static_cast<FaultKind>(kind - kindNames.begin());
    fault.id = readText(object, "id");
    fault.link = readText(object, "link");
    fault.peer = readText(object, "peer");
    const std::string direction = readText(object, "direction");
    if (direction == "up" || direction == "down")
        fault.direction = direction == "up" ? Direction::Up : Direction::Down;
    else if (!direction.empty() && direction != "both")
        return "direction must be up, down or both";
    fault.delay = {readCount(object, "delayMs")};
    fault.jitter = {readCount(object, "jitterMs")};
    fault.remaining = static_cast<uint32_t>(readCount(object, "count"));
    fault.from = now + Millis{readCount(object, "atMs")};
    if (const int64_t length = readCount(object, "forMs"); length > 0)
        fault.until = fault.from + Millis{length};
    m_faults.push_back(std::move(fault));
    return {};
}

void FaultSet::remove(const std::string &id)
{
    std::erase_if(m_faults, [&](const Fault &fault) { return fault.id == id; });
}

static bool matchesName(const std::string &pattern, const std::string &name)
{
    if (pattern.empty())
        return true;
    if (pattern.back() == '*')
        return name.starts_with(pattern.substr(0, pattern.size() - 1));
    return pattern == name;
}

bool FaultSet::matches(const Fault &fault, FaultKind kind, const FaultSubject &subject, Millis now)
{
    return fault.kind == kind && now >= fault.from && (fault.until.count == 0 || now < fault.until)
        && (!fault.direction || *fault.direction == subject.direction)
        && matchesName(fault.link, subject.link) && matchesName(fault.peer, subject.peer);
}

bool FaultSet::isActive(FaultKind kind, const FaultSubject &subject, Millis now) const
{
    return std::any_of(m_faults.begin(), m_faults.end(),
                       [&](const Fault &fault) { return matches(fault, kind, subject, now); });
}

bool FaultSet::take(FaultKind kind, const FaultSubject &subject, Millis now)
{
    const auto found = std::find_if(m_faults.begin(), m_faults.end(),
                                    [&](const Fault &fault) { return matches(fault, kind, subject, now); });
    if (found == m_faults.end())
        return false;
    if (found->remaining > 0 && --found->remaining == 0)
        m_faults.erase(found);
    return true;
}

Millis FaultSet::delay(const FaultSubject &subject, Millis now)
{
    Millis total;
    for (const Fault &fault : m_faults) {
        if (!matches(fault, FaultKind::Delay, subject, now))
            continue;
        total = total + fault.delay;
        if (fault.jitter.count > 0)
            total =
                total + Millis{static_cast<int64_t>(m_random() % static_cast<uint64_t>(fault.jitter.count))};
    }
    return total;
}

} // namespace turmericwell
