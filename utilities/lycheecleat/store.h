/** Reads and changes the stored configuration, and waits until daemons have applied a change. */
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

/** Settings of the store given by --store. */
[[nodiscard]] auto makeStoreSettings(const Arguments &arguments) -> StoreSettings;

/** The administration endpoints given by --admin. Errors: the operator key file cannot be read. */
[[nodiscard]] auto readAdministrationEndpoints(const Arguments &arguments) -> Result<std::vector<AdministrationEndpoint>>;

/** Reads the stored revision. Errors: as for readBundle and unpackBundle. */
[[nodiscard]] auto readStoredFiles(const Arguments &arguments) -> Result<StoredFiles>;

/**
 * Applies edits as one revision. If --admin is given, then polls these daemons until every zone with an entry host is reported to have the revision,
 * for at most --wait. The change id begins with the name of the command. The report contains the revision. Its code is Unreachable if a zone did not
 * confirm in time or the zones could not be read; the change is stored in both cases. Errors: an invalid --wait, an unreadable operator key file, and
 * those of applyEdits.
 */
[[nodiscard]] auto applyAndConfirm(const Arguments &arguments, const std::vector<FileEdit> &edits, const std::string &command) -> Result<Report>;

}
