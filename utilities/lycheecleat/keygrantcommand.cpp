#include "commands.h"

#include "connection/configurationstore.h"
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
    const auto rule = Key { makeKeyName(organisation), organisation, hmacHex(secret, key), true };
    const auto file = keyFile(rule);
    printProgress(fmt::format("storing key {} as {}; withdraw it if this command does not succeed", rule.name_, file.name_));
    auto store = StoreClient(storeSettings(arguments));
    BOOST_LEAF_AUTO(revision, applyEdits(store, { { file.name_, std::nullopt, file.content_ } }, makeChangeId("key-grant")));
    auto report = Report {};
    report.json_ = { { "name", rule.name_ }, { "key", key }, { "organisation", organisation }, { "revision", revision } };
    constexpr auto text = "name {}\nkey {}\nrevision {}\nThe key is not stored and is shown only this once.\n";
    report.text_ = fmt::format(text, rule.name_, key, revision);
    return report;
}

}
