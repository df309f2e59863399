#include "commands.h"

#include "store.h"
#include "version/keyfile.h"
#include "version/rulefolder.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>

namespace lycheecleat
{

namespace
{

/** The edit that marks a key as withdrawn. Errors: the store has no file for the key, or the file does not define it. */
auto makeWithdrawalEdit(const RuleFiles &files, const std::string &name) -> Result<FileEdit>
{
    const auto fileName = keyFileName(name);
    const auto file = std::find_if(files.begin(), files.end(), [&](const RuleFile &candidate) {
        return candidate.name_ == fileName;
    });
    if (file == files.end()) {
        return makeError(requestStep, name, fmt::format("the store contains no file {}; allowed: the name of a granted key", fileName));
    }
    const auto configuration = checkRules({ *file }).configuration_;
    const auto *key = findByName(configuration.keys_, name);
    if (key == nullptr) {
        return makeError(requestStep, name, fmt::format("{} defines no key of this name", fileName));
    }
    auto withdrawn = *key;
    withdrawn.active_ = false;
    return FileEdit { fileName, file->content_, keyFile(withdrawn).content_ };
}

/** Withdraws the key in the store. */
auto withdrawInStore(const Arguments &arguments, const std::string &name) -> Result<Report>
{
    BOOST_LEAF_AUTO(stored, readStoredFiles(arguments));
    BOOST_LEAF_AUTO(edit, makeWithdrawalEdit(stored.files_, name));
    return applyAndConfirm(arguments, { edit }, "key-withdraw");
}

/** Submits the withdrawal to one daemon and adds the result to the report. Returns whether the withdrawal is accepted. */
auto withdrawAtDaemon(const AdministrationEndpoint &daemon, const std::string &name, Report &report) -> bool
{
    const auto outcome = attempt([&]() {
        return submitWithdrawal(daemon, name);
    });
    if (const auto *error = std::get_if<Error>(&outcome)) {
        report.text_ += describe(*error) + "\n";
        report.json_["hosts"].push_back({ { "address", daemon.address_ }, { "error", error->message_ } });
        return false;
    }
    const auto &status = std::get<WithdrawalStatus>(outcome);
    constexpr auto line = "{}: {}; confirmed by {} of {} zones: {}\n";
    const auto *acceptance = status.accepted_ ? "accepted" : "not accepted yet";
    report.text_ +=
        fmt::format(line, daemon.address_, acceptance, status.confirmedZones_.size(), status.zones_.size(), fmt::join(status.confirmedZones_, ", "));
    report.json_["hosts"].push_back(
        { { "address", daemon.address_ }, { "accepted", status.accepted_ }, { "confirmed_zones", status.confirmedZones_ }, { "zones", status.zones_ } });
    return status.accepted_;
}

auto withdrawAtDaemons(const std::vector<AdministrationEndpoint> &daemons, const std::string &name) -> Report
{
    auto report = Report {};
    auto accepted = false;
    for (const auto &daemon : daemons) {
        accepted = withdrawAtDaemon(daemon, name, report) || accepted;
    }
    report.code_ = accepted ? ExitCode::Success : ExitCode::Unreachable;
    report.json_["accepted"] = accepted;
    return report;
}

/** Merges the reports. The withdrawal is in force if the store or the hosts accepted it. */
auto mergeReports(const Report &hosts, const Report &store) -> Report
{
    auto merged = store;
    merged.text_ = hosts.text_ + store.text_;
    merged.json_.update(hosts.json_);
    if (hosts.code_ == ExitCode::Success && store.code_ == ExitCode::Unreachable) {
        merged.code_ = ExitCode::Success;
        merged.text_ += "the hosts accepted the withdrawal, but the store may not contain it; repeat the command when the store is reachable, "
                        "since hosts that restart read withdrawals from the store\n";
    }
    return merged;
}

}

auto runKeyWithdraw(const Arguments &arguments) -> Result<Report>
{
    const auto name = textOf(arguments, "NAME");
    BOOST_LEAF_AUTO(daemons, readAdministrationEndpoints(arguments));
    const auto inStore = isGiven(arguments, "--store");
    if (!inStore && daemons.empty()) {
        return makeError(requestStep, name, "neither --store nor --admin is given; at least one is required");
    }
    // Submits to the hosts first, since a withdrawal must not wait for a store that is down.
    auto hosts = withdrawAtDaemons(daemons, name);
    if (!inStore) {
        return hosts;
    }
    const auto outcome = attempt([&]() {
        return withdrawInStore(arguments, name);
    });
    const auto *error = std::get_if<Error>(&outcome);
    return mergeReports(hosts, error == nullptr ? std::get<Report>(outcome) : makeErrorReport(*error));
}

}
