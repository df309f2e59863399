/** A UDP socket with a timeout for receiving. */
#pragma once

#include "core/error.h"

#include <absl/time/time.h>

#include <string>
#include <string_view>

namespace lycheecleat
{

/** Owns one non-blocking UDP socket. */
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

    /** Sends one datagram without blocking; false when the kernel did not accept it or the address is malformed. */
    [[nodiscard]] auto send(const std::string &address, std::string_view data) -> bool;

    /** Waits for one datagram; empty when none arrived within the timeout. */
    [[nodiscard]] auto receive(absl::Duration timeout) -> std::string;

private:
    explicit DatagramSocket(int socket);

    int socket_ = -1;
};

}
