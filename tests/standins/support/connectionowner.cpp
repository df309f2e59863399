#include "support/connectionowner.h"

#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace standin
{

namespace
{

/** An address in the format of /proc/net/tcp. */
auto procNetTcpAddress(const sockaddr_in &address) -> std::string
{
    return fmt::format("{:08X}:{:04X}", address.sin_addr.s_addr, ntohs(address.sin_port));
}

/** Inode of the socket at the remote end of a connection; empty when the connection is not in /proc/net/tcp. */
auto inodeOfRemoteEnd(int socket) -> std::string
{
    auto remote = sockaddr_in {};
    auto local = sockaddr_in {};
    auto remoteSize = socklen_t { sizeof(remote) };
    auto localSize = socklen_t { sizeof(local) };
    if (getpeername(socket, reinterpret_cast<sockaddr *>(&remote), &remoteSize) != 0
        || getsockname(socket, reinterpret_cast<sockaddr *>(&local), &localSize) != 0) {
        return {};
    }
    // The line of the remote end's socket starts with the address of that socket, so the remote address comes before the local one.
    const auto expected = procNetTcpAddress(remote) + " " + procNetTcpAddress(local);
    auto table = std::ifstream("/proc/net/tcp");
    auto line = std::string {};
    while (std::getline(table, line)) {
        if (line.find(expected) == std::string::npos) {
            continue;
        }
        constexpr auto inodeField = 9;
        auto fields = std::istringstream(line);
        auto field = std::string {};
        for (auto index = 0; index <= inodeField; ++index) {
            fields >> field;
        }
        return field;
    }
    return {};
}

auto ownsSocket(pid_t process, const std::string &inode) -> bool
{
    const auto expected = "socket:[" + inode + "]";
    auto error = std::error_code {};
    auto entries = std::filesystem::directory_iterator(fmt::format("/proc/{}/fd", process), error);
    while (!error && entries != std::filesystem::directory_iterator {}) {
        auto linkError = std::error_code {};
        if (std::filesystem::read_symlink(entries->path(), linkError) == expected) {
            return true;
        }
        entries.increment(error);
    }
    return false;
}

}

auto owningProcess(int socket, const NamedProcesses &processes) -> std::string
{
    if (processes.empty()) {
        return {};
    }
    const auto inode = inodeOfRemoteEnd(socket);
    if (inode.empty()) {
        return {};
    }
    for (const auto &[name, process] : processes) {
        if (ownsSocket(process, inode)) {
            return name;
        }
    }
    return {};
}

}
