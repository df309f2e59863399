/** IP address and port, as written in rule files. */
#pragma once

#include <string>

namespace lycheecleat
{

/** Whether the text is an IP address and a port: `127.0.0.1:8080` or `[::1]:8080`. Host names are not allowed. */
[[nodiscard]] auto isEndpoint(const std::string &text) -> bool;

}
