/** Listening and connecting over TCP. */
#pragma once

#include <string>

namespace standin
{

/** Listens on "IP:PORT" with a backlog for connection bursts; -1 when the address can't be used. */
[[nodiscard]] auto listenOn(const std::string &address) -> int;

/** The address that a socket is bound to, as "IP:PORT". */
[[nodiscard]] auto boundAddress(int socket) -> std::string;

/** Connects to "IP:PORT"; -1 on failure. */
[[nodiscard]] auto connectTo(const std::string &address) -> int;

/** Sends small pieces at once instead of waiting to combine them. */
auto disableDelay(int socket) -> void;

}
