#include "commands.h"

#include "connection/configurationstore.h"
#include "store.h"
#include "version/keyfile.h"
#include "version/rulefolder.h"

#include <fmt/format.h>

#include <algorithm>

namespace lycheecleat
{

namespace
{

/** The edit that withdraws a key. Errors: the key is not in its own file. */
auto makeWithdrawal(const RuleFiles &files, const std::string &name) -> Result<FileEdit>
{
    const auto fileName = keyFileName(name);
    const auto file = std::find_if(files.begin(), files.end(), [&](const RuleFile &candidate) {
        return candidate.name_ == fileName;
    });
    if (file == files.end()) {
        return makeError(requestStep, name, fmt::format("the store holds no file {}; allowed: the name of a granted key", fileName));
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

}

auto runKeyWithdraw(const Arguments &arguments) -> Result<Report>
{
    const auto name = textOf(arguments, "NAME");
    auto store = StoreClient(storeSettings(arguments));
    BOOST_LEAF_AUTO(bundle, readBundle(store));
    BOOST_LEAF_AUTO(files, unpackBundle(bundle));
    BOOST_LEAF_AUTO(edit, makeWithdrawal(files, name));
    BOOST_LEAF_AUTO(revision, applyEdits(store, { edit }, makeChangeId("key-withdraw")));
    auto report = Report {};
    report.json_ = { { "name", name }, { "revision", revision } };
    report.text_ = fmt::format("withdrew key {} in revision {}\n", name, revision);
    return report;
}

}
