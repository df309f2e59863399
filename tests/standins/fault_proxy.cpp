/** Program of the TCP proxy that injects faults into connections between processes. */
#include "support/faultproxy.h"
#include "support/program.h"

#include <cstdio>

namespace
{

constexpr auto usage = R"(TCP proxy that injects faults between two processes.

Usage:
  fault_proxy --control ADDRESS LINK...

Options:
  --control ADDRESS   IP address and port of the control calls.

A link is NAME,LISTEN,TARGET with IP addresses and ports.
)";

auto parseLink(const std::string &text) -> standin::ProxyLink
{
    const auto first = text.find(',');
    const auto second = text.find(',', first + 1);
    if (first == std::string::npos || second == std::string::npos) {
        return {};
    }
    return standin::ProxyLink { text.substr(0, first), text.substr(first + 1, second - first - 1), text.substr(second + 1) };
}

}

auto main(int argumentCount, char **arguments) -> int
{
    const auto options = standin::parseOptions(usage, argumentCount, arguments);
    standin::blockTerminationSignals();
    auto links = std::vector<standin::ProxyLink> {};
    for (const auto &text : options.at("LINK").asStringList()) {
        links.push_back(parseLink(text));
        if (links.back().name_.empty()) {
            std::fprintf(stderr, "fault_proxy: link \"%s\" is not NAME,LISTEN,TARGET\n", text.c_str());
            return 2;
        }
    }
    auto proxy = standin::FaultProxy(links);
    if (!proxy.start(options.at("--control").asString())) {
        std::fprintf(stderr, "fault_proxy: can't listen on one of the addresses\n");
        return 1;
    }
    standin::waitForTermination();
    return 0;
}
