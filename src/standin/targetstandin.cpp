// Stand-in for a target: announces itself to its agent and runs tasks for the time that the payload asks for.
//
// A payload {"runMs":N,"echo":...} runs for N ms (else the runMs of the request) and answers with its echo.
// Each start and end is written to a file for independent checks.
#include "net/http.h"
#include "standin/standin.h"
#include "standin/standinoptions.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <boost/program_options.hpp>
#include <fstream>
#include <iostream>
#include <unordered_map>

namespace turmericwell {

namespace json = boost::json;
namespace options = boost::program_options;
namespace asio = boost::asio;

namespace {

struct TargetSettings
{
    std::string name;
    std::string service;
    Address listen;
    // Address in the announcement, where a proxy stands before this target.
    Address announced;
    Address agent;
    uint32_t slots = 8;
    uint32_t connections = 64;
    uint32_t cores = 16;
    uint32_t memoryGb = 32;
    uint32_t accelerators = 0;
    std::string rack;
    std::string recordFile;
};

class TargetService
{
public:
    TargetService(IoContext &io, TargetSettings settings)
        : m_io(io)
        , m_settings(std::move(settings))
        , m_agent(io, m_settings.agent, {.maxConnections = 1})
        , m_timer(io)
        , m_server(io, m_settings.listen, {}, [this](const HttpRequest &request, HttpResponder respond) {
            handle(request, std::move(respond));
        })
    {
        if (!m_settings.recordFile.empty())
            m_records.open(m_settings.recordFile, std::ios::app);
        announce();
    }

    // Announces that the target leaves and ends the process once no task runs.
    void leave()
    {
        m_leaving = true;
        sendAnnouncement();
        stopWhenIdle();
    }

private:
    struct RunningTask
    {
        std::shared_ptr<asio::steady_timer> timer;
        HttpResponder respond;
    };

    void announce()
    {
        sendAnnouncement();
        constexpr Millis interval = {1'000};
        m_timer.expires_after(std::chrono::milliseconds(interval.count));
        m_timer.async_wait([this](const boost::system::error_code &error) {
            if (!error)
                announce();
        });
    }

    void sendAnnouncement()
    {
        const json::object body{{"target", m_settings.name},
                                {"service", m_settings.service},
                                {"slots", m_settings.slots},
                                {"connections", m_settings.connections},
                                {"cores", m_settings.cores},
                                {"memoryGb", m_settings.memoryGb},
                                {"accelerators", m_settings.accelerators},
                                {"rack", m_settings.rack},
                                {"address", m_settings.announced.text()},
                                {"state", m_leaving ? "leaving" : "up"}};
        m_agent.request({.method = "POST", .path = "/v1/announce", .body = json::serialize(body)}, {1'000},
                        [](const HttpResult &) {});
    }

    void stopWhenIdle()
    {
        if (m_running.empty() && m_server.openRequests() == 0) {
            m_io.stop();
            return;
        }
        auto timer = std::make_shared<asio::steady_timer>(m_io, std::chrono::milliseconds(20));
        timer->async_wait([this, timer](const boost::system::error_code &) { stopWhenIdle(); });
    }

    void handle(const HttpRequest &request, HttpResponder respond)
    {
        constexpr std::string_view prefix = "/v1/tasks/";
        if (request.method == "POST" && request.path == "/v1/tasks")
            start(request, std::move(respond));
        else if (request.method == "DELETE" && request.path.starts_with(prefix))
            stop(request.path.substr(prefix.size()), respond);
        else if (request.path == "/v1/usage")
            respond({.body = json::serialize(json::object{{"running", m_running.size()}})});
        else
            respond({.status = 404, .body = "{}"});
    }

    void start(const HttpRequest &request, HttpResponder respond)
    {
        const auto idHeader = request.headers.find("task-id");
        boost::system::error_code error;
        const json::value body = json::parse(request.body, error);
        if (idHeader == request.headers.end() || error || !body.is_object()) {
            respond({.status = 400, .body = "{}"});
            return;
        }
        const std::string id = idHeader->second;
        const json::object &object = body.get_object();
        const json::value payload = object.contains("payload") ? object.at("payload") : json::value();
        const json::value *payloadRun =
            payload.is_object() ? payload.get_object().if_contains("runMs") : nullptr;
        const json::value *requestRun = object.if_contains("runMs");
        const json::value *run = payloadRun ? payloadRun : requestRun;
        const int64_t runMs = run && run->is_number() ? run->to_number<int64_t>() : 0;
        writeRecord("start", id, object);
        auto timer = std::make_shared<asio::steady_timer>(m_io, std::chrono::milliseconds(runMs));
        m_running[id] = {.timer = timer, .respond = std::move(respond)};
        timer->async_wait([this, timer, id, payload](const boost::system::error_code &waitError) {
            if (!waitError)
                finish(id, payload);
        });
    }

    void finish(const std::string &id, const json::value &payload)
    {
        const auto found = m_running.find(id);
        if (found == m_running.end())
            return;
        const json::value *echo = payload.is_object() ? payload.get_object().if_contains("echo") : nullptr;
        const json::object answer{{"target", m_settings.name}, {"echo", echo ? *echo : json::value()}};
        found->second.respond({.body = json::serialize(answer)});
        m_running.erase(found);
        writeRecord("end", id, {});
    }

    void stop(const std::string &id, const HttpResponder &respond)
    {
        const auto found = m_running.find(id);
        if (found != m_running.end()) {
            found->second.timer->cancel();
            found->second.respond({.status = 500, .body = R"({"error":"stopped"})"});
            m_running.erase(found);
            writeRecord("stop", id, {});
        }
        respond({.body = "{}"});
    }

    void writeRecord(std::string_view what, const std::string &id, const json::object &request)
    {
        if (!m_records.is_open())
            return;
        json::object line{
            {"timeMs", Clock::wall().count}, {"target", m_settings.name}, {"what", what}, {"task", id}};
        if (const json::value *call = request.if_contains("call"))
            line["call"] = *call;
        const json::value *payload = request.if_contains("payload");
        if (payload && payload->is_object() && payload->get_object().contains("echo"))
            line["echo"] = payload->get_object().at("echo");
        m_records << json::serialize(line) << std::endl;
    }

    IoContext &m_io;
    TargetSettings m_settings;
    HttpClient m_agent;
    std::ofstream m_records;
    std::unordered_map<std::string, RunningTask> m_running;
    bool m_leaving = false;
    asio::steady_timer m_timer;
    HttpServer m_server;
};

} // namespace

int runTargetStandin(int argc, char **argv)
{
    TargetSettings settings;
    options::options_description description("turmericwell-standin target");
    std::string listen;
    std::string announced;
    std::string agent;
    description.add_options()("help", "print this help")("name", options::value(&settings.name)->required(),
                                                         "name of the target")(
        "service", options::value(&settings.service)->required(), "service that the target serves")(
        "listen", options::value(&listen)->required(), "IP address and port for tasks")(
        "announced", options::value(&announced), "address that the announcement names, if not --listen")(
        "agent", options::value(&agent)->required(), "IP address and port of the agent beside this target")(
        "slots", options::value(&settings.slots),
        "tasks at a time")("connections", options::value(&settings.connections), "connections at a time")(
        "cores", options::value(&settings.cores),
        "processors of the worker")("memory-gb", options::value(&settings.memoryGb), "memory of the worker")(
        "accelerators", options::value(&settings.accelerators),
        "accelerators of the worker")("rack", options::value(&settings.rack), "rack of the worker")(
        "record-file", options::value(&settings.recordFile), "file for a line at each start and end");
    options::variables_map values;
    if (const std::optional<int> exit = parseStandinOptions(argc, argv, description, values))
        return *exit;
    const std::optional<Address> listenAddress = Address::parse(listen);
    const std::optional<Address> announcedAddress = Address::parse(announced.empty() ? listen : announced);
    const std::optional<Address> agentAddress = Address::parse(agent);
    if (!listenAddress || !announcedAddress || !agentAddress) {
        std::cerr << "--listen, --announced and --agent must be IP:PORT\n";
        return 2;
    }
    settings.listen = *listenAddress;
    settings.announced = *announcedAddress;
    settings.agent = *agentAddress;
    IoContext io(1);
    TargetService service(io, std::move(settings));
    asio::signal_set signals(io, SIGINT, SIGTERM);
    signals.async_wait([&service](const boost::system::error_code &, int) { service.leave(); });
    io.run();
    return 0;
}

} // namespace turmericwell
