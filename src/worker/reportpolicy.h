// Decides when an agent tells one entry the state of its worker.
//
// Load pattern: each start and each end changes the room of a worker, and each report goes to all entries;
// with dozens of workers the reports outnumber all other messages. An entry needs to know soon what happens
// where room is scarce. Where much is free, an older figure serves as well.
#pragma once

#include "proto/fleetcodec.h"
#include "turmericwell/millis.h"

namespace turmericwell {

struct ReportPolicyOptions
{
    // Room below this share of the worker's processors, in percent, is scarce.
    uint32_t scarcePercent = 30;
    // A smaller change of the room, in percent of the worker's processors, can wait.
    uint32_t leastChangePercent = 6;
    // Changes are reported after this time at the latest.
    Millis longestDelay = {50};
};

class ReportPolicy
{
public:
    explicit ReportPolicy(ReportPolicyOptions options = {});

    // What the report says may have changed.
    void noteChange() { m_isPending = true; }
    bool isPending() const { return m_isPending; }
    // Whether the report has to be sent now; a report that is due counts as sent.
    bool isDue(const fleet::WorkerReportT &report, Millis now);

private:
    bool isUrgent(const fleet::WorkerReportT &report) const;

    const ReportPolicyOptions m_options;
    bool m_isPending = false;
    bool m_hasSent = false;
    fleet::WorkerReportT m_sent;
    Millis m_sentAt;
};

} // namespace turmericwell
