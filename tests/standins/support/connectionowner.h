/** Determines which local process opened a connection. */
#pragma once

#include <map>
#include <string>
#include <sys/types.h>

namespace standin
{

/** Process identifiers by the name that the test gives them. */
using NamedProcesses = std::map<std::string, pid_t>;

/** Name of the process that owns the remote end of an accepted IPv4 connection; empty when none of the processes does. */
[[nodiscard]] auto owningProcess(int socket, const NamedProcesses &processes) -> std::string;

}
