/** Files of kind `key`, as the command-line tool writes them. */
#pragma once

#include "version/key.h"
#include "version/rulefile.h"

#include <string>

namespace lycheecleat
{

/** Start of every key, by which a leaked key is recognised in logs and source code. */
inline constexpr auto keyPrefix = "lk_";

/** Random bytes of a key. */
inline constexpr auto keyRandomBytes = 32;

/** A new random key, which is shown once and never stored. */
[[nodiscard]] auto makeKey() -> std::string;

/** Name of the file that holds a key's rule. */
[[nodiscard]] auto keyFileName(const std::string &keyName) -> std::string;

/** The rule file of a key. */
[[nodiscard]] auto keyFile(const Key &key) -> RuleFile;

}
