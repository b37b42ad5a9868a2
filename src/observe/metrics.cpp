// Metrics on Boost.Accumulators, which is an implementation detail of this file.
#include "observe/metrics.h"

#include <algorithm>
#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <charconv>
#include <map>
#include <mutex>
#include <vector>

namespace turmericwell {

namespace acc = boost::accumulators;

namespace {

constexpr std::array<double, 4> probabilities = {0.5, 0.9, 0.99, 0.999};
// Number of markers of the extended p-square algorithm. Its estimates are valid only after one sample for
// each marker.
constexpr size_t markerCount = 2 * probabilities.size() + 3;

using Accumulator =
    acc::accumulator_set<double, acc::stats<acc::tag::extended_p_square, acc::tag::count, acc::tag::sum>>;

std::string numberText(double value)
{
    std::array<char, 32> buffer = {};
    const auto end = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value).ptr;
    return {buffer.data(), end};
}

std::string escaped(std::string_view labelValue)
{
    std::string result;
    for (const char c : labelValue) {
        if (c == '\n') {
            result += "\\n";
            continue;
        }
        if (c == '"' || c == '\\')
            result += '\\';
        result += c;
    }
    return result;
}

class Summary
{
public:
    void add(double value)
    {
        m_accumulator(value);
        if (m_firstSamples.size() < markerCount)
            m_firstSamples.push_back(value);
    }

    size_t count() const { return acc::count(m_accumulator); }
    double sum() const { return acc::sum(m_accumulator); }

    double quantile(size_t index) const
    {
        if (count() > markerCount)
            return acc::extended_p_square(m_accumulator)[static_cast<std::ptrdiff_t>(index)];
        std::vector<double> sorted = m_firstSamples;
        std::sort(sorted.begin(), sorted.end());
        const double rank = probabilities.at(index) * static_cast<double>(sorted.size());
        return sorted[std::min(sorted.size() - 1, static_cast<size_t>(rank))];
    }

private:
    Accumulator m_accumulator = Accumulator(acc::extended_p_square_probabilities = probabilities);
    std::vector<double> m_firstSamples;
};

struct Metric
{
    MetricDescription description;
    mutable std::mutex mutex;
    // Keyed by label value; the key of a metric without a label is empty.
    std::map<std::string, double, std::less<>> values;
    Summary summary;

    std::string text() const
    {
        static constexpr std::array<std::string_view, 3> kindNames = {"counter", "gauge", "summary"};
        const std::string name = "turmericwell_" + std::string(description.name);
        std::string result = "# HELP " + name + " " + std::string(description.help) + "\n# TYPE " + name + " "
            + std::string(kindNames.at(static_cast<size_t>(description.kind))) + "\n";
        const std::lock_guard lock(mutex);
        for (const auto &[value, number] : values) {
            const std::string labels = description.label.empty()
                ? ""
                : "{" + std::string(description.label) + "=\"" + escaped(value) + "\"}";
            result += name + labels + " " + numberText(number) + "\n";
        }
        if (description.kind == MetricKind::Summary)
            result += summaryText(name);
        return result;
    }

    std::string summaryText(const std::string &name) const
    {
        std::string result;
        for (size_t i = 0; summary.count() > 0 && i < probabilities.size(); ++i)
            result += name + "{quantile=\"" + numberText(probabilities.at(i)) + "\"} "
                + numberText(summary.quantile(i)) + "\n";
        return result + name + "_sum " + numberText(summary.sum()) + "\n" + name + "_count "
            + std::to_string(summary.count()) + "\n";
    }
};

} // namespace

struct Metrics::State
{
    // The set of metrics does not change after construction, so lookups need no lock.
    std::map<std::string, Metric, std::less<>> metrics;

    void add(const MetricDescription &description)
    {
        Metric &metric = metrics[std::string(description.name)];
        metric.description = description;
        // An unlabelled counter or gauge is exported as 0 from the start, so that its absence indicates a
        // fault.
        if (description.label.empty() && description.kind != MetricKind::Summary)
            metric.values[""] = 0;
    }

    // Applies the change to the metric while holding its lock.
    template <typename Change>
    void change(std::string_view name, Change change)
    {
        const auto found = metrics.find(name);
        if (found == metrics.end()) {
            Metric &unknown = metrics.find(unknownName)->second;
            const std::lock_guard lock(unknown.mutex);
            ++unknown.values.begin()->second;
            return;
        }
        const std::lock_guard lock(found->second.mutex);
        change(found->second);
    }

    static constexpr std::string_view unknownName = "metrics_unknown_total";
};

Metrics::Metrics(std::span<const MetricDescription> descriptions)
    : m_state(std::make_unique<State>())
{
    m_state->add({.name = State::unknownName,
                  .kind = MetricKind::Counter,
                  .help = "Samples that were dropped because their metric has no description."});
    for (const MetricDescription &description : descriptions)
        m_state->add(description);
}

Metrics::~Metrics() = default;

void Metrics::count(std::string_view name, std::string_view labelValue, uint64_t amount)
{
    m_state->change(name, [&](Metric &metric) {
        auto found = metric.values.find(labelValue);
        if (found == metric.values.end())
            found = metric.values.emplace(labelValue, 0).first;
        found->second += static_cast<double>(amount);
    });
}

void Metrics::set(std::string_view name, double value)
{
    m_state->change(name, [value](Metric &metric) { metric.values[""] = value; });
}

void Metrics::set(std::string_view name, std::string_view labelValue, double value)
{
    m_state->change(name,
                    [&](Metric &metric) { metric.values.insert_or_assign(std::string(labelValue), value); });
}

void Metrics::observe(std::string_view name, double value)
{
    m_state->change(name, [value](Metric &metric) { metric.summary.add(value); });
}

std::string Metrics::text() const
{
    std::string result;
    for (const auto &[name, metric] : m_state->metrics)
        result += metric.text();
    return result;
}

} // namespace turmericwell
