// Main loop and signal handling of an agent process.
#include "agentd/runagent.h"

#include "agentd/agentserver.h"
#include "observe/log.h"

#include <boost/asio/signal_set.hpp>

namespace turmericwell {

namespace asio = boost::asio;

static const Logger &logger()
{
    static const Logger instance("agent");
    return instance;
}

int runAgent(const AgentSettings &settings)
{
    IoContext io(1);
    AgentServer server(io, settings);
    asio::signal_set signals(io, SIGINT, SIGTERM);
    signals.async_wait([&server](const boost::system::error_code &, int) { server.beginStop(); });
    logger().info(settings.name + " listens on " + settings.listen.text());
    io.run();
    logger().info(settings.name + " has stopped");
    return 0;
}

} // namespace turmericwell
