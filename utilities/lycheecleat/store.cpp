#include "store.h"

#include "connection/configurationstore.h"
#include "core/clock.h"
#include "core/digest.h"
#include "process/settings.h"
#include "version/rulefolder.h"
#include "version/units.h"

#include <absl/time/clock.h>
#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <set>

namespace lycheecleat
{

namespace
{

// Longer than a daemon's timeout, since a command runs once while a daemon polls the store continuously.
constexpr auto storeTimeout = absl::Seconds(2);
constexpr auto pollInterval = absl::Milliseconds(100);

auto makeChangeId(const std::string &command) -> std::string
{
    constexpr auto randomBytes = 8;
    return command + "-" + randomHex(randomBytes);
}

auto parseWait(const Arguments &arguments) -> Result<absl::Duration>
{
    const auto text = textOf(arguments, "--wait");
    const auto wait = parseDuration(text);
    if (!wait) {
        return makeError(requestStep, "--wait", fmt::format("'{}' is not allowed; allowed: a duration such as 6s", text));
    }
    return *wait;
}

/** Zones that have a declared entry host, sorted and unique. */
auto zonesWithEntryHosts(const RuleFiles &files) -> std::vector<std::string>
{
    auto zones = std::vector<std::string> {};
    for (const auto &host : checkRules(files).configuration_.entryHosts_) {
        zones.push_back(host.zone_);
    }
    std::sort(zones.begin(), zones.end());
    zones.erase(std::unique(zones.begin(), zones.end()), zones.end());
    return zones;
}

/** Prints a progress line unless it has been printed before. */
auto printOnce(std::set<std::string> &printedLines, const std::string &line) -> void
{
    if (printedLines.insert(line).second) {
        printProgress(line);
    }
}

auto fetchHostStatuses(const std::vector<AdministrationEndpoint> &daemons, std::set<std::string> &printedLines) -> std::vector<HostStatus>
{
    auto statuses = std::vector<HostStatus> {};
    for (const auto &daemon : daemons) {
        const auto outcome = attempt([&]() {
            return fetchHostStatus(daemon);
        });
        if (const auto *status = std::get_if<HostStatus>(&outcome)) {
            statuses.push_back(*status);
        } else {
            printOnce(printedLines, describe(std::get<Error>(outcome)));
        }
    }
    return statuses;
}

/** Polls the daemons until every zone has the revision or the wait has elapsed. Returns the zones that have not confirmed it. */
auto waitForZones(const std::vector<AdministrationEndpoint> &daemons, const std::vector<std::string> &zones, std::int64_t revision, absl::Duration wait)
    -> std::vector<std::string>
{
    const auto deadline = monotonicNow() + wait;
    auto printedLines = std::set<std::string> {};
    while (true) {
        auto unconfirmed = unconfirmedZones(zones, fetchHostStatuses(daemons, printedLines), revision);
        if (unconfirmed.empty() || monotonicNow() >= deadline) {
            return unconfirmed;
        }
        printOnce(printedLines, fmt::format("waiting for zones: {}", fmt::join(unconfirmed, ", ")));
        absl::SleepFor(pollInterval);
    }
}

/** Adds to the report whether every zone has the revision. A failure to determine this sets the exit code but is not an error, since the change is stored. */
auto addConfirmation(Report report, const Arguments &arguments, const std::vector<AdministrationEndpoint> &daemons, std::int64_t revision, absl::Duration wait)
    -> Report
{
    printProgress(fmt::format("stored as revision {}", revision));
    const auto stored = attempt([&]() {
        return readStoredFiles(arguments);
    });
    if (const auto *error = std::get_if<Error>(&stored)) {
        report.code_ = ExitCode::Unreachable;
        report.text_ += fmt::format("revision {} is stored, but its zones could not be read: {}\n", revision, describe(*error));
        return report;
    }
    const auto unconfirmed = waitForZones(daemons, zonesWithEntryHosts(std::get<StoredFiles>(stored).files_), revision, wait);
    report.json_["unconfirmed_zones"] = unconfirmed;
    if (unconfirmed.empty()) {
        report.text_ += "in force in every zone\n";
        return report;
    }
    report.code_ = ExitCode::Unreachable;
    report.text_ += fmt::format(
        "revision {} is stored, but was not confirmed within {} by the zones {}\n", revision, absl::FormatDuration(wait), fmt::join(unconfirmed, ", "));
    return report;
}

}

auto makeStoreSettings(const Arguments &arguments) -> StoreSettings
{
    return { textOf(arguments, "--store"), storeTimeout };
}

auto readAdministrationEndpoints(const Arguments &arguments) -> Result<std::vector<AdministrationEndpoint>>
{
    auto operatorKey = std::string {};
    if (isGiven(arguments, "--operator-key-file")) {
        BOOST_LEAF_ASSIGN(operatorKey, readSecret(textOf(arguments, "--operator-key-file")));
    }
    auto daemons = std::vector<AdministrationEndpoint> {};
    for (const auto &address : listOf(arguments, "--admin")) {
        daemons.push_back({ address, operatorKey });
    }
    return daemons;
}

auto readStoredFiles(const Arguments &arguments) -> Result<StoredFiles>
{
    auto store = StoreClient(makeStoreSettings(arguments));
    BOOST_LEAF_AUTO(bundle, readBundle(store));
    BOOST_LEAF_AUTO(files, unpackBundle(bundle));
    return StoredFiles { bundle.head_.revision_, files };
}

auto applyAndConfirm(const Arguments &arguments, const std::vector<FileEdit> &edits, const std::string &command) -> Result<Report>
{
    // Reads these options first, so that an invalid one is rejected before anything is written.
    BOOST_LEAF_AUTO(daemons, readAdministrationEndpoints(arguments));
    BOOST_LEAF_AUTO(wait, parseWait(arguments));
    auto store = StoreClient(makeStoreSettings(arguments));
    BOOST_LEAF_AUTO(revision, applyEdits(store, edits, makeChangeId(command)));
    auto report = Report { ExitCode::Success, fmt::format("revision {}\n", revision), { { "revision", revision } } };
    return daemons.empty() ? report : addConfirmation(std::move(report), arguments, daemons, revision, wait);
}

}
