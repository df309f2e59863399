/** The commands of the tool, one function each. */
#pragma once

#include "arguments.h"
#include "core/error.h"
#include "report.h"

namespace lycheecleat
{

/** `check DIR`: validates the rules of a folder without a store. */
[[nodiscard]] auto runCheck(const Arguments &arguments) -> Result<Report>;

/** `apply DIR`: writes the folder's edits to the store as one revision. */
[[nodiscard]] auto runApply(const Arguments &arguments) -> Result<Report>;

/** `pull DIR`: updates the folder to the store's files and keeps the operator's edits. Errors: conflicting edits; nothing is written then. */
[[nodiscard]] auto runPull(const Arguments &arguments) -> Result<Report>;

/** `diff DIR`: shows the edits that apply would write, and their conflicts if a store is given. */
[[nodiscard]] auto runDiff(const Arguments &arguments) -> Result<Report>;

/** `explain`: reports the route and the destinations of a request, from the rules or from a daemon with `--admin`. */
[[nodiscard]] auto runExplain(const Arguments &arguments) -> Result<Report>;

/** `status`: shows the revisions of daemons and of their peers. */
[[nodiscard]] auto runStatus(const Arguments &arguments) -> Result<Report>;

/** `drain TARGET`: takes a machine or zone out of use, or ends the drain with --undo. */
[[nodiscard]] auto runDrain(const Arguments &arguments) -> Result<Report>;

/** `shift NAME`: shifts a share of a pool's requests from one region to another, or ends the shift with --undo. */
[[nodiscard]] auto runShift(const Arguments &arguments) -> Result<Report>;

/** `key grant ORGANISATION [NAME]`: generates a key, stores its keyed digest and prints the key, which can't be retrieved again. */
[[nodiscard]] auto runKeyGrant(const Arguments &arguments) -> Result<Report>;

/**
 * `key withdraw NAME`: withdraws a key in the store, at daemons, or both. It succeeds if the store accepts the withdrawal, or if a daemon does and the
 * store is unreachable or not given.
 */
[[nodiscard]] auto runKeyWithdraw(const Arguments &arguments) -> Result<Report>;

}
