/** Finds out which process opened a connection on this machine. */
#pragma once

#include <map>
#include <string>
#include <sys/types.h>

namespace standin
{

/** Processes by a name of the test's choice. */
using NamedProcesses = std::map<std::string, pid_t>;

/** Name of the process that holds the other end of an accepted IPv4 connection; empty when it is none of them. */
[[nodiscard]] auto owningProcess(int socket, const NamedProcesses &processes) -> std::string;

}
