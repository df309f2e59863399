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
  lycheecleat apply DIR --store ADDR [--admin ADDR]... [--operator-key-file FILE] [--wait DURATION] [--json]
  lycheecleat pull DIR --store ADDR [--json]
  lycheecleat diff DIR [--store ADDR] [--json]
  lycheecleat explain (--folder DIR | --store ADDR) --host HOST --path PATH [--method METHOD] [--json]
  lycheecleat explain --admin ADDR --host HOST --path PATH [--object OBJECT] [--organisation NAME] [--operator-key-file FILE] [--json]
  lycheecleat status --admin ADDR [--admin ADDR]... [--operator-key-file FILE] [--json]
  lycheecleat drain TARGET --store ADDR [--undo] [--admin ADDR]... [--operator-key-file FILE] [--wait DURATION] [--json]
  lycheecleat shift NAME --undo --store ADDR [--admin ADDR]... [--operator-key-file FILE] [--wait DURATION] [--json]
  lycheecleat shift NAME --pool POOL --from REGION --to REGION --share PERCENT --cap RATE --store ADDR [--start TIME] [--over DURATION]
                    [--admin ADDR]... [--operator-key-file FILE] [--wait DURATION] [--json]
  lycheecleat key grant ORGANISATION [NAME] --store ADDR --secret-file FILE [--admin ADDR]... [--operator-key-file FILE] [--wait DURATION]
                    [--json]
  lycheecleat key withdraw NAME [--store ADDR] [--admin ADDR]... [--operator-key-file FILE] [--wait DURATION] [--json]
  lycheecleat --help

Options:
  --store ADDR              IP address and port of the store.
  --admin ADDR              IP address and port of a daemon's administration API; may be repeated.
  --operator-key-file FILE  File with the operator key that the daemons ask for.
  --secret-file FILE        File with the fleet secret, under which keys are digested.
  --wait DURATION           How long to wait until every zone confirms a change. [default: 6s]
  --folder DIR              Folder with rules.
  --host HOST               Host header of a request.
  --path PATH               Path of a request.
  --method METHOD           Method of a request. [default: GET]
  --object OBJECT           What the request is about, which decides its backend server.
  --organisation NAME       Organisation that sends the request.
  --pool POOL               Pool whose requests a shift moves.
  --from REGION             Region whose requests a shift moves.
  --to REGION               Region whose backend servers take them.
  --share PERCENT           Share of the requests to move, such as 30%.
  --cap RATE                Most requests that may be moved, such as 40/s.
  --start TIME              When the shift starts, such as 2026-03-01T06:00:00Z; now if not given.
  --over DURATION           Time over which the shift grows to its share. [default: 10m]
  --undo                    Remove the drain or shift.
  --json                    Write the result as JSON.
  --help                    Show this text.

Exit codes: 0 success, 1 the rules or the request are wrong, 2 usage, 3 store or host unreachable, 4 conflict with another edit.
)";

using Command = Result<Report> (*)(const Arguments &);

auto findCommand(const Arguments &arguments) -> Command
{
    const auto commands = std::vector<std::pair<std::string, Command>> {
        { "check", runCheck },   { "apply", runApply }, { "pull", runPull },   { "diff", runDiff },      { "explain", runExplain },
        { "status", runStatus }, { "drain", runDrain }, { "shift", runShift }, { "grant", runKeyGrant }, { "withdraw", runKeyWithdraw },
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
    const auto report = error == nullptr ? std::get<Report>(outcome) : makeErrorReport(*error);
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
