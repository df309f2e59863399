/** Loopback addresses for tests that need fixed ports: each test process reserves its own block. */
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <stdexcept>
#include <string>

namespace lycheecleat
{

/** Reserves a free block 127.BLOCK.0.0/16 by listening on a port in it until the process exits. Blocks from 64 on belong to the integration tests. */
inline auto reserveTestBlock() -> int
{
    constexpr auto firstBlock = 16;
    constexpr auto blockCount = 48;
    constexpr auto reservationPort = std::uint16_t { 7999 };
    for (auto attempt = 0; attempt < blockCount; ++attempt) {
        const auto block = firstBlock + (getpid() + attempt) % blockCount;
        const auto reservation = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        auto address = sockaddr_in {};
        address.sin_family = AF_INET;
        address.sin_port = htons(reservationPort);
        inet_pton(AF_INET, ("127." + std::to_string(block) + ".0.1").c_str(), &address.sin_addr);
        if (bind(reservation, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0 && listen(reservation, 1) == 0) {
            return block;
        }
        close(reservation);
    }
    throw std::runtime_error("no free block of loopback addresses");
}

/** The address 127.BLOCK.THIRD.LAST of this process's block. */
inline auto testIp(int third, int last) -> std::string
{
    static const auto block = reserveTestBlock();
    return "127." + std::to_string(block) + "." + std::to_string(third) + "." + std::to_string(last);
}

}
