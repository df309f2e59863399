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

auto checkAnswer(const httplib::Result &answer, const std::string &address, const std::string &path) -> void
{
    if (!answer || answer->status != statusOk) {
        throw std::runtime_error("control call " + path + " to " + address + " failed: " + (answer ? answer->body : httplib::to_string(answer.error())));
    }
}

}

auto readControl(const std::string &address, const std::string &path) -> nlohmann::json
{
    auto connection = openConnection(address);
    const auto answer = connection.Get(path);
    checkAnswer(answer, address, path);
    return nlohmann::json::parse(answer->body);
}

auto postControl(const std::string &address, const std::string &path, const nlohmann::json &body) -> void
{
    auto connection = openConnection(address);
    checkAnswer(connection.Post(path, body.dump(), "application/json"), address, path);
}

}
