/** Rule files of kind `key`, as the command-line tool writes them. */
#pragma once

#include "version/key.h"
#include "version/rulefile.h"

#include <string>

namespace lycheecleat
{

/** Prefix of every key, by which secret scanners recognise a leaked key in logs and source code. */
inline constexpr auto keyPrefix = "lk_";

/** Number of random bytes in a key. */
inline constexpr auto keyRandomBytes = 32;

/** Generates a random key. It is shown to the operator once and never stored. */
[[nodiscard]] auto makeKey() -> std::string;

/** Name of the file with a key's rule. */
[[nodiscard]] auto keyFileName(const std::string &keyName) -> std::string;

/** The rule file of a key. */
[[nodiscard]] auto keyFile(const Key &key) -> RuleFile;

}
