/** Open-loop load client: sends requests at a constant rate for a limited time. */
#include "support/loadgenerator.h"
#include "support/program.h"

#include <cstdio>

namespace
{

constexpr auto usage = R"(Sends requests at a rate, whether or not earlier ones were answered, and prints the result as JSON.

Usage:
  load_client --target ADDRESS... [--rate N] [--seconds N] [--threads N] [--method METHOD] [--path PATH] [--host HOST] [--key KEY]
              [--header HEADER]... [--body-bytes N] [--timeout-ms N] [--idempotency-prefix TEXT]

Options:
  --target ADDRESS            IP address and port of an entry host; requests go to all of them in turn.
  --rate N                    Requests a second. [default: 100]
  --seconds N                 Length of the load, at most 120. [default: 5]
  --threads N                 Threads, each with its own connection to each target. [default: 16]
  --method METHOD             [default: GET]
  --path PATH                 [default: /]
  --host HOST                 Host header. [default: service.example]
  --key KEY                   Key, sent as a bearer token.
  --header HEADER             Further header as NAME:VALUE.
  --body-bytes N              Size of the body. [default: 0]
  --timeout-ms N              Longest wait for an answer. [default: 5000]
  --idempotency-prefix TEXT   Gives each request an idempotency key of this text and a number.
)";

auto textOption(const standin::Options &options, const std::string &name) -> std::string
{
    return options.at(name) ? options.at(name).asString() : std::string {};
}

auto settingsOf(const standin::Options &options) -> standin::LoadSettings
{
    auto settings = standin::LoadSettings {};
    settings.targets_ = options.at("--target").asStringList();
    settings.rate_ = standin::numberOption(options, "--rate");
    settings.duration_ = std::chrono::duration<double>(standin::numberOption(options, "--seconds"));
    settings.threads_ = static_cast<int>(standin::numberOption(options, "--threads"));
    settings.method_ = textOption(options, "--method");
    settings.path_ = textOption(options, "--path");
    settings.host_ = textOption(options, "--host");
    settings.key_ = textOption(options, "--key");
    settings.headers_ = options.at("--header").asStringList();
    settings.bodyBytes_ = static_cast<std::size_t>(standin::numberOption(options, "--body-bytes"));
    settings.timeout_ = std::chrono::milliseconds(static_cast<int>(standin::numberOption(options, "--timeout-ms")));
    settings.idempotencyPrefix_ = textOption(options, "--idempotency-prefix");
    return settings;
}

}

auto main(int argumentCount, char **arguments) -> int
{
    const auto options = standin::parseOptions(usage, argumentCount, arguments);
    const auto settings = settingsOf(options);
    if (!standin::isValid(settings)) {
        std::fprintf(stderr, "load_client: the rate, threads and seconds must be above 0, the seconds at most 120\n");
        return 2;
    }
    std::puts(standin::runLoad(settings).c_str());
    return 0;
}
