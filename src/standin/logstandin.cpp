// Stand-in for the platform's log service: streams in memory, limited retention, outages and lost answers.
//
// Beside the service's protocol it takes POST /control with {"failing":bool,"delayMs":N,"loseAnswers":N}; the
// next N appends take effect although their answers are lost.
#include "net/http.h"
#include "standin/standin.h"
#include "standin/standinoptions.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <boost/program_options.hpp>
#include <deque>
#include <iostream>

namespace turmericwell {

namespace json = boost::json;
namespace options = boost::program_options;
namespace asio = boost::asio;

namespace {

struct StoredRecord
{
    uint64_t offset = 0;
    Millis time;
    std::string data;
};

struct Waiter
{
    uint64_t from = 0;
    size_t most = 0;
    Millis until;
    HttpResponder respond;
};

struct Stream
{
    std::deque<StoredRecord> records;
    uint64_t next = 0;
    std::vector<Waiter> waiters;

    uint64_t oldest() const { return records.empty() ? next : records.front().offset; }
};

struct LogSettings
{
    Address listen;
    Millis appendDelay;
    Millis retention;
};

class LogService
{
public:
    LogService(IoContext &io, const LogSettings &settings)
        : m_io(io)
        , m_settings(settings)
        , m_timer(io)
        , m_server(io, settings.listen, {}, [this](HttpRequest request, HttpResponder respond) {
            handle(std::move(request), std::move(respond));
        })
    {
        schedule();
    }

private:
    static HttpResponse response(int status, const json::value &body)
    {
        return {.status = status, .body = json::serialize(body)};
    }

    void schedule()
    {
        constexpr Millis interval = {20};
        m_timer.expires_after(std::chrono::milliseconds(interval.count));
        m_timer.async_wait([this](const boost::system::error_code &error) {
            if (error)
                return;
            expire();
            schedule();
        });
    }

    void expire()
    {
        const Millis now = Clock::now();
        for (auto &[name, stream] : m_streams) {
            while (!stream.records.empty()
                   && Clock::wall() - stream.records.front().time > m_settings.retention)
                stream.records.pop_front();
            std::vector<Waiter> waiting;
            std::swap(waiting, stream.waiters);
            for (Waiter &waiter : waiting) {
                if (now >= waiter.until)
                    waiter.respond(readResponse(stream, waiter.from, waiter.most));
                else
                    stream.waiters.push_back(std::move(waiter));
            }
        }
    }

    void handle(HttpRequest request, HttpResponder respond)
    {
        if (request.path == "/control") {
            control(request, respond);
            return;
        }
        constexpr std::string_view prefix = "/v1/streams/";
        constexpr std::string_view suffix = "/records";
        if (!request.path.starts_with(prefix) || !request.path.ends_with(suffix)
            || request.path.size() <= prefix.size() + suffix.size()) {
            respond(response(404, {{"error", "no such path"}}));
            return;
        }
        if (m_failing) {
            respond(response(503, {{"error", "unavailable"}}));
            return;
        }
        const std::string name =
            request.path.substr(prefix.size(), request.path.size() - prefix.size() - suffix.size());
        if (request.method == "POST")
            append(name, std::move(request.body), std::move(respond));
        else
            read(m_streams[name], request, std::move(respond));
    }

    void control(const HttpRequest &request, const HttpResponder &respond)
    {
        boost::system::error_code error;
        const json::value body = json::parse(request.body, error);
        if (error || !body.is_object()) {
            respond(response(400, {{"error", "bad control request"}}));
            return;
        }
        const json::object &object = body.get_object();
        if (const json::value *failing = object.if_contains("failing"))
            m_failing = failing->as_bool();
        if (const json::value *delay = object.if_contains("delayMs"))
            m_settings.appendDelay = {delay->to_number<int64_t>()};
        if (const json::value *lose = object.if_contains("loseAnswers"))
            m_loseAnswers = lose->to_number<int64_t>();
        respond(response(200, {{"appends", m_appends}}));
    }

    void append(const std::string &name, std::string data, HttpResponder respond)
    {
        auto timer = std::make_shared<asio::steady_timer>(m_io);
        timer->expires_after(std::chrono::milliseconds(m_settings.appendDelay.count));
        timer->async_wait([this, timer, name, data = std::move(data),
                           respond = std::move(respond)](const boost::system::error_code &) mutable {
            Stream &stream = m_streams[name];
            const uint64_t offset = stream.next++;
            stream.records.push_back({.offset = offset, .time = Clock::wall(), .data = std::move(data)});
            ++m_appends;
            std::vector<Waiter> waiting;
            std::swap(waiting, stream.waiters);
            for (Waiter &waiter : waiting)
                waiter.respond(readResponse(stream, waiter.from, waiter.most));
            if (m_loseAnswers > 0) {
                --m_loseAnswers;
                respond(response(504, {{"error", "answer lost"}}));
                return;
            }
            respond(response(200, {{"offset", offset}}));
        });
    }

    static uint64_t countParameter(const HttpRequest &request, const std::string &name, uint64_t defaultValue)
    {
        const auto found = request.query.find(name);
        if (found == request.query.end())
            return defaultValue;
        return std::strtoull(found->second.c_str(), nullptr, 10);
    }

    static void read(Stream &stream, const HttpRequest &request, HttpResponder respond)
    {
        const uint64_t from = countParameter(request, "from", 0);
        const size_t most = countParameter(request, "max", 1000);
        const Millis wait = {static_cast<int64_t>(countParameter(request, "waitMs", 0))};
        if (from >= stream.next && wait.count > 0) {
            stream.waiters.push_back(
                {.from = from, .most = most, .until = Clock::now() + wait, .respond = std::move(respond)});
            return;
        }
        respond(readResponse(stream, from, most));
    }

    static HttpResponse readResponse(const Stream &stream, uint64_t from, size_t most)
    {
        if (from < stream.oldest())
            return response(410, {{"oldest", stream.oldest()}});
        json::array records;
        for (size_t i = from - stream.oldest(); i < stream.records.size() && records.size() < most; ++i) {
            const StoredRecord &record = stream.records[i];
            records.push_back(json::object{
                {"offset", record.offset}, {"timeMs", record.time.count}, {"data", record.data}});
        }
        const uint64_t next = from + records.size();
        return response(200, {{"records", std::move(records)}, {"next", next}, {"oldest", stream.oldest()}});
    }

    IoContext &m_io;
    LogSettings m_settings;
    std::map<std::string, Stream> m_streams;
    bool m_failing = false;
    int64_t m_loseAnswers = 0;
    uint64_t m_appends = 0;
    asio::steady_timer m_timer;
    HttpServer m_server;
};

} // namespace

int runLogStandin(int argc, char **argv)
{
    options::options_description description("turmericwell-standin log");
    description.add_options()("help", "print this help")("listen", options::value<std::string>()->required(),
                                                         "IP address and port")(
        "append-delay-ms", options::value<int64_t>()->default_value(5),
        "time that an append takes")("retention-ms", options::value<int64_t>()->default_value(3'600'000),
                                     "time for which records are kept");
    options::variables_map values;
    if (const std::optional<int> exit = parseStandinOptions(argc, argv, description, values))
        return *exit;
    const std::optional<Address> listen = Address::parse(values["listen"].as<std::string>());
    if (!listen) {
        std::cerr << "--listen must be IP:PORT\n";
        return 2;
    }
    IoContext io(1);
    const LogService service(io,
                             {.listen = *listen,
                              .appendDelay = {values["append-delay-ms"].as<int64_t>()},
                              .retention = {values["retention-ms"].as<int64_t>()}});
    asio::signal_set signals(io, SIGINT, SIGTERM);
    signals.async_wait([&io](const boost::system::error_code &, int) { io.stop(); });
    io.run();
    return 0;
}

} // namespace turmericwell
