// Rate limiting of the worker reports that an agent sends to one entry.
//
// Load pattern: each start and each end changes the free resources of a worker, and each report goes to all
// entries; with dozens of workers the reports outnumber all other messages. Changes on a nearly full worker
// are therefore reported at once, while changes on a worker with ample free resources are batched.
#pragma once

#include "proto/fleetcodec.h"
#include "turmericwell/millis.h"

namespace turmericwell {

struct ReportPolicyOptions
{
    // Free processors below this share of the worker's processors, in percent, count as scarce.
    uint32_t scarcePercent = 30;
    // Smallest change of the free processors that is reported at once, in percent of the worker's processors.
    uint32_t minUrgentChangePercent = 6;
    // Longest delay of a pending report after the previous one.
    Millis maxDelay = {50};
};

class ReportPolicy
{
public:
    explicit ReportPolicy(ReportPolicyOptions options = {});

    // Marks the report as possibly changed since it was last sent.
    void markChanged() { m_isPending = true; }
    bool isPending() const { return m_isPending; }
    // Returns whether the report has to be sent now. If so, records it as sent.
    bool isDue(const fleet::WorkerReportT &report, Millis now);

private:
    bool isUrgent(const fleet::WorkerReportT &report) const;

    const ReportPolicyOptions m_options;
    bool m_isPending = false;
    bool m_hasSent = false;
    fleet::WorkerReportT m_lastReport;
    Millis m_lastReportAt;
};

} // namespace turmericwell
