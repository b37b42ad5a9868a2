// Blocking access of operator commands to the config stream.
#pragma once

#include "config/configstate.h"
#include "logservice/logclient.h"

#include <string>
#include <vector>

namespace turmericwell {

class ConfigLog
{
public:
    explicit ConfigLog(const Address &address);

    // Reads to the end of the stream. Returns false if a read fails or the time has come; then error tells
    // why.
    bool readToEnd(Millis until);
    AppendResult append(const std::string &record, Millis until);
    void pause(Millis time);

    const ConfigState &state() const { return m_state; }
    // The configuration at that version, if its record was read; null otherwise.
    ConfigPtr at(uint64_t version) const;
    const std::string &error() const { return m_error; }

private:
    ReadResult readOnce(uint64_t from, Millis timeout);

    IoContext m_io;
    LogClient m_log;
    ConfigState m_state;
    std::vector<ConfigPtr> m_seen;
    std::string m_error;
};

} // namespace turmericwell
