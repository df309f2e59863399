/** Program of the stand-in for the platform's key-value store. */
#include "support/program.h"
#include "support/storeserver.h"

#include <cstdio>

namespace
{

constexpr auto usage = R"(Stand-in for the platform's key-value store.

Usage:
  store_standin --listen ADDRESS [--reads-per-second N] [--writes-per-second N]

Options:
  --listen ADDRESS        IP address and port.
  --reads-per-second N    Reads, watches and host list calls allowed a second; 0 for no limit. [default: 0]
  --writes-per-second N   Writes and lease calls allowed a second; 0 for no limit. [default: 0]
)";

}

auto main(int argumentCount, char **arguments) -> int
{
    const auto options = standin::parseOptions(usage, argumentCount, arguments);
    standin::blockTerminationSignals();
    const auto limits = standin::StoreLimits { standin::numberOption(options, "--reads-per-second"), standin::numberOption(options, "--writes-per-second") };
    auto store = standin::StoreServer(limits);
    const auto &address = options.at("--listen").asString();
    if (!store.start(address)) {
        std::fprintf(stderr, "store_standin: can't listen on %s\n", address.c_str());
        return 1;
    }
    standin::waitForTermination();
    return 0;
}
