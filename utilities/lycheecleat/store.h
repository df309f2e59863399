/** Access to the store and to daemons for commands. */
#pragma once

#include "arguments.h"
#include "connection/administrationclient.h"
#include "connection/storeclient.h"
#include "core/error.h"
#include "report.h"
#include "version/bundle.h"
#include "version/rulefile.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lycheecleat
{

/** The files of one stored revision. */
struct StoredFiles
{
    std::int64_t revision_ = 0;
    RuleFiles files_;
};

/** Settings of the store that the command line names. */
[[nodiscard]] auto makeStoreSettings(const Arguments &arguments) -> StoreSettings;

/** The daemons that the command line names. Errors: the operator key file cannot be read. */
[[nodiscard]] auto readAdministrationEndpoints(const Arguments &arguments) -> Result<std::vector<AdministrationEndpoint>>;

/** Reads all files from the store. Errors: the store gives no answer or is damaged. */
[[nodiscard]] auto readStoredFiles(const Arguments &arguments) -> Result<StoredFiles>;

/**
 * Applies edits, then waits until hosts of every zone confirm the revision if the command line names daemons. The word says which command
 * made the change. The report holds the revision; its code is Unreachable when a zone did not confirm in time. Errors: as for applyEdits.
 */
[[nodiscard]] auto applyAndConfirm(const Arguments &arguments, const std::vector<FileEdit> &edits, const std::string &command) -> Result<Report>;

}
