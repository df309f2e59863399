/** Functions for listening and connecting over TCP. */
#pragma once

#include <string>

namespace standin
{

/** Listens on "IP:PORT" with a backlog large enough for connection bursts; returns the socket, or -1 when the address cannot be used. */
[[nodiscard]] auto listenOn(const std::string &address) -> int;

/** The address that a socket is bound to, as "IP:PORT". */
[[nodiscard]] auto boundAddress(int socket) -> std::string;

/** Connects to "IP:PORT" with TCP_NODELAY; returns the socket, or -1 on failure. */
[[nodiscard]] auto connectTo(const std::string &address) -> int;

/** Disables Nagle's algorithm (TCP_NODELAY). */
auto disableDelay(int socket) -> void;

}
