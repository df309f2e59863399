/** Log lines of a test, read back from standard output. */
#pragma once

#include "core/log.h"

#include <doctest/doctest.h>
#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

namespace lycheecleat
{

/** Redirects standard output to a pipe, so that log lines can be read back. */
class CapturedOutput
{
public:
    CapturedOutput()
    {
        REQUIRE(pipe(pipeEnds_) == 0);
        fcntl(pipeEnds_[0], F_SETFL, O_NONBLOCK);
        savedOutput_ = dup(STDOUT_FILENO);
        dup2(pipeEnds_[1], STDOUT_FILENO);
        configureLog({ LogLevel::Info, LogFormat::Json, LogStream::Output, 2000 });
    }

    ~CapturedOutput()
    {
        configureLog({});
        dup2(savedOutput_, STDOUT_FILENO);
        for (const auto descriptor : { pipeEnds_[0], pipeEnds_[1], savedOutput_ }) {
            close(descriptor);
        }
    }

    CapturedOutput(const CapturedOutput &) = delete;
    auto operator=(const CapturedOutput &) -> CapturedOutput & = delete;

    /** All lines since the last call. */
    auto lines() -> std::vector<nlohmann::json>
    {
        auto text = std::string {};
        auto buffer = std::string(1 << 16, ' ');
        for (auto count = read(pipeEnds_[0], buffer.data(), buffer.size()); count > 0; count = read(pipeEnds_[0], buffer.data(), buffer.size())) {
            text.append(buffer, 0, static_cast<std::size_t>(count));
        }
        auto lines = std::vector<nlohmann::json> {};
        for (auto begin = std::size_t { 0 }; begin < text.size(); begin = text.find('\n', begin) + 1) {
            lines.push_back(nlohmann::json::parse(text.substr(begin, text.find('\n', begin) - begin)));
        }
        return lines;
    }

    /** The lines of one event since the last call. */
    auto linesOf(const std::string &event) -> std::vector<nlohmann::json>
    {
        auto all = lines();
        std::erase_if(all, [&](const nlohmann::json &line) {
            return line.at("event") != event;
        });
        return all;
    }

private:
    int pipeEnds_[2] = { -1, -1 };
    int savedOutput_ = -1;
};

}
