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

/** `pull DIR`: brings the folder to the store's files and keeps the operator's edits. */
[[nodiscard]] auto runPull(const Arguments &arguments) -> Result<Report>;

/** `diff DIR`: shows the edits that apply would send. */
[[nodiscard]] auto runDiff(const Arguments &arguments) -> Result<Report>;

/** `explain`: says which rule sends a request where. */
[[nodiscard]] auto runExplain(const Arguments &arguments) -> Result<Report>;

/** `status`: shows the revision of a daemon and its peers. */
[[nodiscard]] auto runStatus(const Arguments &arguments) -> Result<Report>;

/** `drain TARGET`: takes a machine or zone out of use, or back with --undo. */
[[nodiscard]] auto runDrain(const Arguments &arguments) -> Result<Report>;

/** `shift NAME`: moves traffic from one region to another, or ends the move with --undo. */
[[nodiscard]] auto runShift(const Arguments &arguments) -> Result<Report>;

/** `key grant ORGANISATION`: makes a key, stores its digest and prints the key once. */
[[nodiscard]] auto runKeyGrant(const Arguments &arguments) -> Result<Report>;

/** `key withdraw NAME`: withdraws a key in the store and with daemons. */
[[nodiscard]] auto runKeyWithdraw(const Arguments &arguments) -> Result<Report>;

}
