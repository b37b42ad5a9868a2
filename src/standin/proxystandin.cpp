// Proxy that stands on the links of a cluster and injects faults.
//
// The plan file holds {"seed":N,"links":[{"name","listen","to","framed"}],"faults":[...]}. POST /control
// takes
// {"add":[fault...],"remove":[id...],"clear":true} and answers with the state of each link.
#include "net/http.h"
#include "standin/proxylink.h"
#include "standin/standin.h"
#include "standin/standinoptions.h"

#include <boost/asio/signal_set.hpp>
#include <boost/json.hpp>
#include <boost/program_options.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

namespace turmericwell {

namespace json = boost::json;
namespace options = boost::program_options;
namespace asio = boost::asio;

namespace {

class ProxyService
{
public:
    ProxyService(IoContext &io, const Address &listen, uint64_t seed)
        : m_io(io)
        , m_faults(seed)
        , m_timer(io)
        , m_server(io, listen, {}, [this](const HttpRequest &request, const HttpResponder &respond) {
            control(request, respond);
        })
    {
        tick();
    }

    // Returns a problem text, empty on success.
    std::string addLink(const json::object &object)
    {
        const auto text = [&](std::string_view key) {
            const json::value *value = object.if_contains(key);
            return value && value->is_string() ? std::string(std::string_view(value->get_string()))
                                               : std::string();
        };
        const std::optional<Address> listen = Address::parse(text("listen"));
        const std::optional<Address> to = Address::parse(text("to"));
        if (!listen || !to)
            return "listen and to must be IP:PORT";
        const json::value *framed = object.if_contains("framed");
        const bool hasFrames = framed && framed->is_bool() && framed->get_bool();
        StreamKind stream = hasFrames ? StreamKind::Frames : StreamKind::Opaque;
        if (text("framed") == "fleet")
            stream = StreamKind::FleetFrames;
        m_links.push_back(std::make_unique<ProxyLink>(
            m_io, ProxyLinkSettings{.name = text("name"), .listen = *listen, .to = *to, .stream = stream},
            m_faults));
        return {};
    }

    std::string addFaults(const json::value &faults)
    {
        if (!faults.is_array())
            return "faults must be an array";
        for (const json::value &fault : faults.get_array()) {
            if (!fault.is_object())
                return "a fault must be an object";
            if (std::string problem = m_faults.add(fault.get_object(), Clock::now()); !problem.empty())
                return problem;
        }
        return {};
    }

private:
    void tick()
    {
        constexpr Millis interval = {10};
        for (const auto &link : m_links)
            link->tick();
        m_timer.expires_after(std::chrono::milliseconds(interval.count));
        m_timer.async_wait([this](const boost::system::error_code &error) {
            if (!error)
                tick();
        });
    }

    void control(const HttpRequest &request, const HttpResponder &respond)
    {
        boost::system::error_code error;
        const json::value body = json::parse(request.body, error);
        if (request.path != "/control" || error || !body.is_object()) {
            respond({.status = 400, .body = R"({"error":"bad control request"})"});
            return;
        }
        const json::object &object = body.get_object();
        if (object.contains("clear"))
            m_faults.clear();
        if (const json::value *removed = object.if_contains("remove"); removed && removed->is_array()) {
            for (const json::value &id : removed->get_array()) {
                if (id.is_string())
                    m_faults.remove(std::string(std::string_view(id.get_string())));
            }
        }
        if (const json::value *added = object.if_contains("add")) {
            if (const std::string problem = addFaults(*added); !problem.empty()) {
                respond({.status = 400, .body = json::serialize(json::object{{"error", problem}})});
                return;
            }
        }
        json::object links;
        for (const auto &link : m_links)
            links[link->name()] = {{"connections", link->connections()}, {"bytes", link->bytes()}};
        respond({.body = json::serialize(json::object{{"links", std::move(links)}})});
    }

    IoContext &m_io;
    FaultSet m_faults;
    std::vector<std::unique_ptr<ProxyLink>> m_links;
    asio::steady_timer m_timer;
    HttpServer m_server;
};

} // namespace

// Returns a problem text, empty on success.
static std::string loadPlan(ProxyService &service, const json::object &plan)
{
    const json::value *links = plan.if_contains("links");
    if (!links || !links->is_array())
        return "links must be an array";
    for (const json::value &link : links->get_array()) {
        if (!link.is_object())
            return "a link must be an object";
        if (std::string problem = service.addLink(link.get_object()); !problem.empty())
            return problem;
    }
    const json::value *faults = plan.if_contains("faults");
    return faults ? service.addFaults(*faults) : std::string();
}

static int runProxy(const Address &control, const json::object &plan)
{
    IoContext io(1);
    const json::value *seedValue = plan.if_contains("seed");
    boost::system::error_code error;
    const uint64_t seed = seedValue && seedValue->is_number() ? seedValue->to_number<uint64_t>(error) : 1;
    try {
        ProxyService service(io, control, seed);
        if (const std::string problem = loadPlan(service, plan); !problem.empty()) {
            std::cerr << "proxy: " << problem << '\n';
            return 2;
        }
        asio::signal_set signals(io, SIGINT, SIGTERM);
        signals.async_wait([&io](const boost::system::error_code &, int) { io.stop(); });
        io.run();
    } catch (const boost::system::system_error &failure) {
        std::cerr << "proxy: " << failure.what() << '\n';
        return 1;
    }
    return 0;
}

int runProxyStandin(int argc, char **argv)
{
    options::options_description description("turmericwell-standin proxy");
    description.add_options()("help", "print this help")("control", options::value<std::string>()->required(),
                                                         "IP address and port for POST /control")(
        "plan", options::value<std::string>()->required(), "JSON file with seed, links and faults");
    options::variables_map values;
    if (const std::optional<int> exit = parseStandinOptions(argc, argv, description, values))
        return *exit;
    const std::optional<Address> control = Address::parse(values["control"].as<std::string>());
    std::ifstream file(values["plan"].as<std::string>());
    std::stringstream text;
    text << file.rdbuf();
    boost::system::error_code error;
    const json::value plan = json::parse(text.str(), error);
    if (!control || !file || error || !plan.is_object()) {
        std::cerr << "--control must be IP:PORT and --plan a readable JSON object\n";
        return 2;
    }
    return runProxy(*control, plan.get_object());
}

} // namespace turmericwell
