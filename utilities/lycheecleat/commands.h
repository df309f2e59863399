/** The commands of the tool, one function each. */
#pragma once

#include "arguments.h"
#include "core/error.h"
#include "report.h"

namespace lycheecleat
{

/** `check DIR`: checks the rules of a folder without a store. */
[[nodiscard]] auto runCheck(const Arguments &arguments) -> Result<Report>;

/** `apply DIR`: sends the folder's edits to the store. */
[[nodiscard]] auto runApply(const Arguments &arguments) -> Result<Report>;

/** `key grant ORGANISATION`: makes a key, stores its digest and prints the key once. */
[[nodiscard]] auto runKeyGrant(const Arguments &arguments) -> Result<Report>;

/** `key withdraw NAME`: withdraws a key in the store. */
[[nodiscard]] auto runKeyWithdraw(const Arguments &arguments) -> Result<Report>;

}
