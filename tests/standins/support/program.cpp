#include "support/program.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <vector>

namespace standin
{

namespace
{

auto terminationSignals() -> sigset_t
{
    auto signals = sigset_t {};
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

}

auto parseOptions(const char *usage, int argumentCount, char **arguments) -> Options
{
    const auto words = std::vector<std::string>(arguments + 1, arguments + argumentCount);
    return docopt::docopt(usage, words, true);
}

auto numberOption(const Options &options, const std::string &name) -> double
{
    const auto &text = options.at(name).asString();
    auto *end = static_cast<char *>(nullptr);
    const auto value = std::strtod(text.c_str(), &end);
    if (end == text.c_str() || *end != '\0') {
        std::fprintf(stderr, "option %s: \"%s\" is not a number\n", name.c_str(), text.c_str());
        std::exit(2);
    }
    return value;
}

auto blockTerminationSignals() -> void
{
    const auto signals = terminationSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    // Writing to a connection closed by the peer must not terminate the process.
    std::signal(SIGPIPE, SIG_IGN);
}

auto waitForTermination() -> void
{
    std::puts("ready");
    std::fflush(stdout);
    const auto signals = terminationSignals();
    auto received = 0;
    sigwait(&signals, &received);
}

}
