// Subcommand bench: load over HTTP, measured against one shared queue.
#include "bench/workload.h"
#include "cli/options.h"
#include "net/http.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <iostream>

namespace turmericwell {

namespace asio = boost::asio;
namespace json = boost::json;
namespace options = boost::program_options;

namespace {

using SteadyClock = std::chrono::steady_clock;

struct BenchSettings
{
    std::vector<Address> entries;
    std::string service;
    std::string call;
    std::string team;
    std::optional<Address> target;
    WorkloadOptions workload;
    int64_t warmupMs = 0;
    // Above zero: that many jobs of zero-length tasks are kept in flight instead of the open-loop arrivals.
    uint32_t jobsInFlight = 0;
};

constexpr Millis answerTimeout = {120'000};

double millisSince(SteadyClock::time_point begin)
{
    return std::chrono::duration<double, std::milli>(SteadyClock::now() - begin).count();
}

HttpRequest makeRequest(const BenchSettings &settings, const std::string &key,
                        const std::vector<uint32_t> &runMs)
{
    json::object body{{"call", settings.call}};
    if (!settings.team.empty())
        body["team"] = settings.team;
    if (runMs.size() == 1) {
        body["payload"] = json::object{{"runMs", runMs.front()}};
        return {.method = "POST",
                .path = "/v1/services/" + settings.service + "/requests",
                .headers = {{"Idempotency-Key", key}},
                .body = json::serialize(body)};
    }
    json::array tasks;
    for (const uint32_t run : runMs)
        tasks.push_back(json::object{{"runMs", run}});
    body["key"] = key;
    body["service"] = settings.service;
    body["tasks"] = std::move(tasks);
    return {.method = "POST", .path = "/v1/jobs", .body = json::serialize(body)};
}

bool isComplete(const HttpResult &result)
{
    return result.response && result.response->status == 200;
}

// A prefix for keys that no earlier run has used.
std::string keyPrefix()
{
    return std::to_string(Clock::wall().count) + "-";
}

// Median round trip, in ms, of zero-length tasks sent straight to an idle target, one at a time.
double bareRoundTripMs(const Address &target)
{
    constexpr size_t rounds = 200;
    IoContext io;
    HttpClient http(io, target, {.maxConnections = 1});
    std::vector<double> times;
    const std::string prefix = keyPrefix();
    std::function<void()> next = [&] {
        const SteadyClock::time_point begin = SteadyClock::now();
        http.request({.method = "POST",
                      .path = "/v1/tasks",
                      .headers = {{"Task-Id", prefix + std::to_string(times.size())}},
                      .body = R"({"call":"bench","payload":{"runMs":0},"runMs":0})"},
                     answerTimeout, [&, begin](const HttpResult &result) {
                         if (!isComplete(result))
                             return;
                         times.push_back(millisSince(begin));
                         if (times.size() < rounds)
                             next();
                     });
    };
    next();
    io.run();
    return quantilesOf(times).p50;
}

// Open loop: each submission leaves at its own time, whatever became of the earlier ones.
class OpenLoop
{
public:
    explicit OpenLoop(const BenchSettings &settings)
        : m_settings(settings)
        , m_arrivals(makeArrivals(settings.workload))
        , m_responses(m_arrivals.size(), -1)
        , m_timer(m_io)
    {
        // Enough connections that no submission waits for one.
        constexpr size_t connections = 4'000;
        for (const Address &entry : settings.entries)
            m_clients.push_back(
                std::make_unique<HttpClient>(m_io, entry, HttpClientOptions{.maxConnections = connections}));
    }

    void run()
    {
        m_begin = SteadyClock::now();
        sendDue();
        m_io.run();
    }

    json::object report() const;

private:
    void sendDue()
    {
        while (m_next < m_arrivals.size() && dueAt(m_next) <= SteadyClock::now())
            send(m_next++);
        if (m_next == m_arrivals.size())
            return;
        m_timer.expires_at(dueAt(m_next));
        m_timer.async_wait([this](const boost::system::error_code &) { sendDue(); });
    }

    void send(size_t index)
    {
        m_clients[index % m_clients.size()]->request(
            makeRequest(m_settings, m_prefix + std::to_string(index), m_arrivals[index].runMs), answerTimeout,
            [this, index](const HttpResult &result) {
                if (isComplete(result))
                    m_responses[index] = millisSince(dueAt(index));
            });
    }

    SteadyClock::time_point dueAt(size_t index) const
    {
        return m_begin + std::chrono::microseconds(m_arrivals[index].atMicros);
    }

    const BenchSettings &m_settings;
    const std::string m_prefix = keyPrefix();
    std::vector<Arrival> m_arrivals;
    // Response time of each arrival in ms; negative if it was not completed.
    std::vector<double> m_responses;
    IoContext m_io;
    asio::steady_timer m_timer;
    std::vector<std::unique_ptr<HttpClient>> m_clients;
    SteadyClock::time_point m_begin;
    size_t m_next = 0;
};

json::object toJson(const Quantiles &quantiles)
{
    return {{"p50", quantiles.p50}, {"p90", quantiles.p90}, {"p99", quantiles.p99}, {"max", quantiles.most}};
}

json::object OpenLoop::report() const
{
    const double roundTrip = m_settings.target ? bareRoundTripMs(*m_settings.target) : 0;
    const std::vector<double> ideal = sharedQueueResponses(m_arrivals, m_settings.workload.slots);
    std::vector<double> measured;
    std::vector<double> baseline;
    size_t tasks = 0;
    size_t failed = 0;
    for (size_t i = 0; i < m_arrivals.size(); ++i) {
        tasks += m_arrivals[i].runMs.size();
        failed += m_responses[i] < 0 ? 1 : 0;
        // Arrivals of the warm-up find an empty system.
        if (m_arrivals[i].atMicros < m_settings.warmupMs * 1'000 || m_responses[i] < 0)
            continue;
        const double least = m_arrivals[i].longestMs() + roundTrip;
        measured.push_back(m_responses[i] / least);
        baseline.push_back((ideal[i] + roundTrip) / least);
    }
    const Quantiles system = quantilesOf(measured);
    const Quantiles shared = quantilesOf(baseline);
    const auto ratio = [](double a, double b) { return b > 0 ? a / b : 0; };
    return {{"seed", m_settings.workload.seed},
            {"load", m_settings.workload.load},
            {"submissions", m_arrivals.size()},
            {"tasks", tasks},
            {"measured", measured.size()},
            {"failed", failed},
            {"round_trip_ms", roundTrip},
            {"over_ideal", toJson(system)},
            {"shared_queue", toJson(shared)},
            {"p50_ratio", ratio(system.p50, shared.p50)},
            {"p99_ratio", ratio(system.p99, shared.p99)}};
}

// Closed loop: a fixed number of jobs of zero-length tasks is in flight until the time is over.
class Throughput
{
public:
    explicit Throughput(const BenchSettings &settings)
        : m_settings(settings)
        , m_client(m_io, settings.entries.front(), {.maxConnections = settings.jobsInFlight})
    { }

    json::object run()
    {
        m_begin = SteadyClock::now();
        for (uint32_t i = 0; i < m_settings.jobsInFlight; ++i)
            sendNext();
        m_io.run();
        const double seconds = millisSince(m_begin) / 1'000;
        const uint64_t tasks = m_completed * m_settings.workload.jobTasks;
        return {{"jobs", m_completed},
                {"failed", m_failed},
                {"tasks", tasks},
                {"seconds", seconds},
                {"starts_per_s", static_cast<double>(tasks) / seconds},
                {"job_ms", toJson(quantilesOf(m_jobMs))}};
    }

private:
    void sendNext()
    {
        if (millisSince(m_begin) >= static_cast<double>(m_settings.workload.durationMs))
            return;
        const SteadyClock::time_point begin = SteadyClock::now();
        const std::vector<uint32_t> runMs(m_settings.workload.jobTasks, 0);
        m_client.request(makeRequest(m_settings, m_prefix + std::to_string(m_sent++), runMs), answerTimeout,
                         [this, begin](const HttpResult &result) {
                             ++(isComplete(result) ? m_completed : m_failed);
                             m_jobMs.push_back(millisSince(begin));
                             sendNext();
                         });
    }

    const BenchSettings &m_settings;
    const std::string m_prefix = keyPrefix();
    IoContext m_io;
    HttpClient m_client;
    SteadyClock::time_point m_begin;
    uint64_t m_sent = 0;
    uint64_t m_completed = 0;
    uint64_t m_failed = 0;
    std::vector<double> m_jobMs;
};

options::options_description describe(BenchSettings &settings, std::vector<std::string> &entries,
                                      std::string &target)
{
    WorkloadOptions &workload = settings.workload;
    options::options_description result("options");
    auto add = result.add_options();
    add("entry", options::value(&entries)->required()->composing(),
        "IP address and port of an entry; may be repeated");
    add("service", options::value(&settings.service)->required(), "service that is called");
    add("call", options::value(&settings.call)->required(), "call that is made");
    add("team", options::value(&settings.team), "team that the tasks belong to");
    add("target", options::value(&target), "address of an idle target, for the bare round trip");
    add("seed", options::value(&workload.seed)->default_value(workload.seed), "seed of the arrivals");
    add("load", options::value(&workload.load)->default_value(workload.load), "offered load, 1 is all slots");
    add("slots", options::value(&workload.slots)->default_value(workload.slots), "slots of all targets");
    add("duration-ms", options::value(&workload.durationMs)->default_value(workload.durationMs),
        "time in which submissions arrive");
    add("warmup-ms", options::value(&settings.warmupMs)->default_value(0),
        "arrivals before this time are not measured");
    add("job-share", options::value(&workload.jobShare)->default_value(workload.jobShare),
        "share of the submissions that are jobs");
    add("job-tasks", options::value(&workload.jobTasks)->default_value(workload.jobTasks), "tasks of a job");
    add("jobs-in-flight", options::value(&settings.jobsInFlight)->default_value(0),
        "measure throughput: keep this many jobs of zero-length tasks in flight");
    return result;
}

} // namespace

ExitCode benchCommand(std::span<const std::string> arguments)
{
    BenchSettings settings;
    std::vector<std::string> entries;
    std::string target;
    const CommandLine line = parseCommandLine(arguments, "bench", describe(settings, entries, target));
    if (line.exit)
        return *line.exit;
    for (const std::string &entry : entries) {
        const std::optional<Address> address = Address::parse(entry);
        if (!address) {
            std::cerr << "turmericwell bench: --entry must be IP:PORT\n";
            return ExitCode::BadUsage;
        }
        settings.entries.push_back(*address);
    }
    settings.target = Address::parse(target);
    if (settings.jobsInFlight > 0) {
        std::cout << json::serialize(Throughput(settings).run()) << '\n';
        return ExitCode::Done;
    }
    OpenLoop loop(settings);
    loop.run();
    std::cout << json::serialize(loop.report()) << '\n';
    return ExitCode::Done;
}

} // namespace turmericwell
