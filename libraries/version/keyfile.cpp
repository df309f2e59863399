#include "version/keyfile.h"

#include "core/digest.h"
#include "version/folderstate.h"

#include <fmt/format.h>

namespace lycheecleat
{

auto makeKey() -> std::string
{
    return keyPrefix + randomHex(keyRandomBytes);
}

auto keyFileName(const std::string &keyName) -> std::string
{
    return keyFolder + keyName + ".yaml";
}

auto keyFile(const Key &key) -> RuleFile
{
    constexpr auto format = "kind: key\nname: {}\norganisation: {}\ndigest: \"{}\"\nstate: {}\n";
    return { keyFileName(key.name_), fmt::format(format, key.name_, key.organisation_, key.digest_, key.active_ ? "active" : "withdrawn") };
}

}
