// Counters, gauges and quantiles of a process, in the Prometheus text format.
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
    // Without the prefix "turmericwell_".
    std::string_view name;
    MetricKind kind = MetricKind::Counter;
    std::string_view help;
    // Name of the one label, or empty.
    std::string_view label;
};

// Thread-safe; each metric has its own lock. A sample of a name without a description is dropped and counted
// in metrics_unknown_total, so that a missing description does not stop the process.
class Metrics
{
public:
    explicit Metrics(std::span<const MetricDescription> descriptions);
    ~Metrics();

    void count(std::string_view name, std::string_view labelValue = "", uint64_t amount = 1);
    // Sets the value of a counter or gauge that is kept elsewhere.
    void set(std::string_view name, double value);
    // Adds a sample to a summary.
    void observe(std::string_view name, double value);
    std::string text() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace turmericwell
