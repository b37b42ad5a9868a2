// Counters, gauges and summaries of a process, exported in the Prometheus text format.
#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace turmericwell {

enum class MetricKind : uint8_t { Counter, Gauge, Summary };

struct MetricDescription
{
    // Without the prefix "turmericwell_", which the exported text adds.
    std::string_view name;
    MetricKind kind = MetricKind::Counter;
    std::string_view help;
    // Name of the only label; empty for a metric without labels.
    std::string_view label;
};

// Thread-safe; each metric has its own lock. Samples of undescribed metrics are dropped and counted in
// metrics_unknown_total, so that a missing description does not terminate the process.
class Metrics
{
public:
    explicit Metrics(std::span<const MetricDescription> descriptions);
    ~Metrics();

    void count(std::string_view name, std::string_view labelValue = "", uint64_t amount = 1);
    // Sets a gauge, or a counter whose total is maintained by the caller.
    void set(std::string_view name, double value);
    // The same with a label value.
    void set(std::string_view name, std::string_view labelValue, double value);
    // Adds a sample to a summary.
    void observe(std::string_view name, double value);
    // All metrics in the Prometheus text format, ordered by name.
    std::string text() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace turmericwell
