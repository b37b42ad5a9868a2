// The numbers that an owner of a partition gives to the runs of a job's tasks.
//
// An end of a run is judged by its number: the end of a run that another one has replaced must not be
// confirmed without a lapse of the worker's lease. So each owner uses higher numbers than all former owners.
// An epoch has a range of numbers that needs no record. An owner that has used it up records a higher limit
// in the job's record before it gives further numbers, and the next owner starts above that limit.
#pragma once

#include <algorithm>
#include <cstdint>

namespace turmericwell {

class RunNumbers
{
public:
    // Numbers of the range of an epoch, and of each extension. All owners have to use the same size.
    static constexpr uint32_t defaultRangeSize = 1'000;

    RunNumbers() = default;
    // Of a job that no former owner has known.
    static RunNumbers forNewJob(uint64_t epoch, uint32_t rangeSize = defaultRangeSize);
    // Of a job whose former owners used numbers up to the end of the range of the epoch before this one, and
    // up to recordedLimit, which is 0 in records of earlier versions.
    static RunNumbers forKnownJob(uint64_t epoch, uint32_t recordedLimit,
                                  uint32_t rangeSize = defaultRangeSize);

    // Runs of former owners have numbers up to this one.
    uint32_t base() const { return m_base; }
    bool isOfFormerOwner(uint32_t number) const { return number <= m_base; }
    // Numbers up to this one are in use by a former submission of the job.
    void raiseBase(uint32_t lastUsed);

    // The number of the run after the task's run `last`, which is 0 before the first one.
    uint32_t next(uint32_t last) const { return std::max(last, m_base) + 1; }
    // False if next(last) must not be used before an extension is stored.
    bool hasNext(uint32_t last) const { return std::max(last, m_base) < m_limit; }
    // Raises the limit to be recorded. Returns false if that is not stored yet, or if no numbers are left.
    bool extend();
    // The limit that the job's record has to contain.
    uint32_t limitToRecord() const { return m_limitToRecord; }
    void limitRecorded(uint32_t limit);

private:
    RunNumbers(uint32_t base, uint32_t limit, uint32_t rangeSize);

    uint32_t m_rangeSize = defaultRangeSize;
    uint32_t m_base = 0;
    // No higher number may be used.
    uint32_t m_limit = 0;
    // At least m_limit; higher while an extension is not stored yet.
    uint32_t m_limitToRecord = 0;
};

} // namespace turmericwell
