// Faults that the proxy applies, matched by link, dialling process and direction.
#pragma once

#include "turmericwell/millis.h"

#include <boost/json/fwd.hpp>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace turmericwell {

// Up is from the process that dialled to the process that listens.
enum class Direction : uint8_t { Up, Down };

enum class FaultKind : uint8_t {
    Delay,
    // Nothing passes while the fault lasts; held bytes follow afterwards, as after TCP retransmission.
    Drop,
    // Connections are reset, and new ones as well while the fault lasts.
    Reset,
    // The listening side sees a closed connection, the dialling side sees an open one that never answers.
    HalfOpen,
    // A frame or an HTTP message is cut before its last byte, then the connection is closed.
    Truncate,
    // What went up takes effect; the connection is reset in place of the first bytes that come down.
    LoseAnswer
};

struct Fault
{
    std::string id;
    FaultKind kind = FaultKind::Delay;
    // Empty matches every link or dialling process. A trailing '*' matches by prefix.
    std::string link;
    std::string peer;
    // Empty means both directions.
    std::optional<Direction> direction;
    Millis delay;
    // Random addition to the delay, up to this.
    Millis jitter;
    // Connections that the fault still applies to; zero means no limit.
    uint32_t remaining = 0;
    Millis from;
    // Zero means until it is removed.
    Millis until;
};

// Identifies one direction of one connection.
struct FaultSubject
{
    std::string link;
    std::string peer;
    Direction direction = Direction::Up;
};

class FaultSet
{
public:
    explicit FaultSet(uint64_t seed)
        : m_random(seed)
    { }

    // Returns a problem text, empty on success. `atMs` and `forMs` in the object count from `now`.
    std::string add(const boost::json::object &object, Millis now);
    void remove(const std::string &id);
    void clear() { m_faults.clear(); }

    bool isActive(FaultKind kind, const FaultSubject &subject, Millis now) const;
    // Like isActive, but uses up one of a limited number of applications.
    bool take(FaultKind kind, const FaultSubject &subject, Millis now);
    Millis delay(const FaultSubject &subject, Millis now);

private:
    static bool matches(const Fault &fault, FaultKind kind, const FaultSubject &subject, Millis now);

    std::vector<Fault> m_faults;
    std::mt19937_64 m_random;
};

} // namespace turmericwell
