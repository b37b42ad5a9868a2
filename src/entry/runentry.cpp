// Threads and signals of an entry process.
#include "entry/runentry.h"

#include "entry/entryserver.h"
#include "observe/log.h"

#include <boost/asio/signal_set.hpp>
#include <optional>
#include <thread>

namespace turmericwell {

namespace asio = boost::asio;

static const Logger &logger()
{
    static const Logger instance("entry");
    return instance;
}

static std::optional<int> runOnce(const EntrySettings &settings)
{
    IoContext io(static_cast<int>(settings.threads));
    EntryServer server(io, settings);
    server.start();
    asio::signal_set signals(io, SIGINT, SIGTERM);
    signals.async_wait([&server](const boost::system::error_code &error, int) {
        if (!error)
            server.beginStop();
    });
    logger().info(settings.name + " listens on " + settings.listen.text());
    std::vector<std::jthread> threads;
    for (uint32_t i = 1; i < settings.threads; ++i)
        threads.emplace_back([&io] { io.run(); });
    io.run();
    threads.clear();
    return server.mustStartAgain() ? std::nullopt : std::optional(server.exitCode());
}

int runEntry(const EntrySettings &settings)
{
    std::optional<int> exitCode;
    while (!exitCode)
        exitCode = runOnce(settings);
    logger().info(settings.name + " has stopped");
    return *exitCode;
}

} // namespace turmericwell
