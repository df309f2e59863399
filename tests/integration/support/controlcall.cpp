#include "support/controlcall.h"

#include <httplib.h>

#include <chrono>
#include <stdexcept>

namespace integration
{

namespace
{

constexpr auto controlTimeout = std::chrono::seconds { 10 };
constexpr auto statusOk = 200;

auto openConnection(const std::string &address) -> httplib::Client
{
    auto connection = httplib::Client("http://" + address);
    connection.set_connection_timeout(controlTimeout);
    connection.set_read_timeout(controlTimeout);
    connection.set_write_timeout(controlTimeout);
    return connection;
}

auto checkResponse(const httplib::Result &response, const std::string &address, const std::string &path) -> void
{
    if (!response || response->status != statusOk) {
        throw std::runtime_error("control call " + path + " to " + address + " failed: " + (response ? response->body : httplib::to_string(response.error())));
    }
}

}

auto readControl(const std::string &address, const std::string &path) -> nlohmann::json
{
    auto connection = openConnection(address);
    const auto response = connection.Get(path);
    checkResponse(response, address, path);
    return nlohmann::json::parse(response->body);
}

auto postControl(const std::string &address, const std::string &path, const nlohmann::json &body) -> void
{
    auto connection = openConnection(address);
    checkResponse(connection.Post(path, body.dump(), "application/json"), address, path);
}

}
