// Stand-ins for tests and experiments: the platform's log service, a target, and a fault-injecting proxy.
#include "standin/standin.h"

#include <iostream>
#include <string_view>

int main(int argc, char **argv)
{
    using namespace turmericwell;
    const std::string_view command = argc > 1 ? argv[1] : "";
    if (command == "log")
        return runLogStandin(argc - 1, argv + 1);
    if (command == "target")
        return runTargetStandin(argc - 1, argv + 1);
    if (command == "proxy")
        return runProxyStandin(argc - 1, argv + 1);
    std::cerr << "usage: turmericwell-standin log|target|proxy [options]\n";
    return 2;
}
