/** The command-line tool for operators. */
#include "arguments.h"
#include "commands.h"
#include "report.h"

#include <fmt/format.h>

#include <string>
#include <utility>
#include <vector>

using namespace lycheecleat;

namespace
{

constexpr auto usage = R"(Checks and changes the configuration of lycheecleat.

Usage:
  lycheecleat check DIR [--json]
  lycheecleat apply DIR --store ADDR [--json]
  lycheecleat key grant ORGANISATION --store ADDR --secret-file FILE [--json]
  lycheecleat key withdraw NAME --store ADDR [--json]
  lycheecleat --help

Options:
  --store ADDR        IP address and port of the store.
  --secret-file FILE  File with the fleet secret, under which keys are digested.
  --json              Write the result as JSON.
  --help              Show this text.

Exit codes: 0 success, 1 the rules or the request are wrong, 2 usage, 3 store or host unreachable, 4 conflict with another edit.
)";

using Command = Result<Report> (*)(const Arguments &);

auto findCommand(const Arguments &arguments) -> Command
{
    const auto commands = std::vector<std::pair<std::string, Command>> {
        { "check", runCheck },
        { "apply", runApply },
        { "grant", runKeyGrant },
        { "withdraw", runKeyWithdraw },
    };
    for (const auto &[name, command] : commands) {
        if (isGiven(arguments, name)) {
            return command;
        }
    }
    return nullptr;
}

auto run(const Arguments &arguments) -> int
{
    const auto command = findCommand(arguments);
    if (command == nullptr) {
        fmt::print(stderr, "{}", usage);
        return static_cast<int>(ExitCode::Usage);
    }
    const auto outcome = attempt([&]() {
        return command(arguments);
    });
    const auto *error = std::get_if<Error>(&outcome);
    const auto report = error == nullptr ? std::get<Report>(outcome) : reportError(*error);
    printReport(report, isGiven(arguments, "--json"));
    return static_cast<int>(report.code_);
}

}

auto main(int argumentCount, char **argumentValues) -> int
{
    try {
        return run({ docopt::docopt_parse(usage, { argumentValues + 1, argumentValues + argumentCount }) });
    } catch (const docopt::DocoptExitHelp &) {
        fmt::print("{}", usage);
        return static_cast<int>(ExitCode::Success);
    } catch (const docopt::DocoptArgumentError &error) {
        fmt::print(stderr, "{}\n{}", error.what(), usage);
        return static_cast<int>(ExitCode::Usage);
    }
}
