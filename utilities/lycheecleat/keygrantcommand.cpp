#include "commands.h"

#include "core/digest.h"
#include "process/settings.h"
#include "store.h"
#include "version/keyfile.h"

#include <fmt/format.h>

namespace lycheecleat
{

namespace
{

auto makeKeyName(const std::string &organisation) -> std::string
{
    constexpr auto randomBytes = 4;
    return organisation + "-" + randomHex(randomBytes);
}

}

auto runKeyGrant(const Arguments &arguments) -> Result<Report>
{
    const auto organisation = textOf(arguments, "ORGANISATION");
    BOOST_LEAF_AUTO(secret, readSecret(textOf(arguments, "--secret-file")));
    const auto key = makeKey();
    const auto name = isGiven(arguments, "NAME") ? textOf(arguments, "NAME") : makeKeyName(organisation);
    const auto rule = Key { name, organisation, hmacHex(secret, key), true };
    const auto file = keyFile(rule);
    printProgress(fmt::format("storing key {} as {}; withdraw it if this command does not succeed", rule.name_, file.name_));
    BOOST_LEAF_AUTO(report, applyAndConfirm(arguments, { { file.name_, std::nullopt, file.content_ } }, "key-grant"));
    report.json_.update({ { "name", rule.name_ }, { "key", key }, { "organisation", organisation } });
    constexpr auto text = "name {}\nkey {}\nThe key is not stored and is shown only this once.\n";
    // Prints the key to standard output also if a zone did not confirm the change: its digest is stored, and the key can't be retrieved again.
    if (report.code_ != ExitCode::Success && !isGiven(arguments, "--json")) {
        fmt::print(text, rule.name_, key);
        return report;
    }
    report.text_ = fmt::format(text, rule.name_, key) + report.text_;
    return report;
}

}
