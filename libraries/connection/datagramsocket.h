/** A UDP socket whose waits are bounded. */
#pragma once

#include "core/error.h"

#include <absl/time/time.h>

#include <string>
#include <string_view>

namespace lycheecleat
{

/** Owns one UDP socket. */
class DatagramSocket
{
public:
    /** Binds to an IP address and port. Errors: the address is malformed or in use. */
    [[nodiscard]] static auto bind(const std::string &address) -> Result<DatagramSocket>;
    ~DatagramSocket();
    DatagramSocket(DatagramSocket &&other) noexcept;
    auto operator=(DatagramSocket &&other) noexcept -> DatagramSocket &;
    DatagramSocket(const DatagramSocket &) = delete;
    auto operator=(const DatagramSocket &) -> DatagramSocket & = delete;

    /** Sends one datagram; false when the network did not take it. */
    [[nodiscard]] auto send(const std::string &address, std::string_view data) -> bool;

    /** Waits for one datagram; empty when none came in time. */
    [[nodiscard]] auto receive(absl::Duration timeout) -> std::string;

private:
    explicit DatagramSocket(int socket);

    int socket_ = -1;
};

}
