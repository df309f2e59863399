#include "support/process.h"

#include "core/digest.h"

#include <doctest/doctest.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <filesystem>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace integration;
using namespace std::chrono_literals;

namespace
{

constexpr auto toolLimit = 20s;

/** Returns an address that depends on the process id, so that concurrent test programs use distinct addresses. */
auto testAddress(int portOffset) -> std::string
{
    constexpr auto valuesPerOctet = 250;
    const auto pid = getpid();
    return "127." + std::to_string(220 + pid / valuesPerOctet / valuesPerOctet % 30) + "." + std::to_string(pid / valuesPerOctet % valuesPerOctet) + "."
        + std::to_string(1 + pid % valuesPerOctet) + ":" + std::to_string(17000 + portOffset);
}

/** A running store stand-in and a temporary folder for the command-line tool. */
struct CommandLineFixture
{
    std::string folder_ = (std::filesystem::temp_directory_path() / ("lycheecleat-tool-" + lycheecleat::randomHex(8))).string();
    std::string storeAddress_ = testAddress(0);
    Process store_ { "store", { programPath("store_standin"), "--listen", storeAddress_ }, makeFolder(folder_) };

    CommandLineFixture()
    {
        REQUIRE(store_.waitForText("ready", 10s));
        writeText(folder_ + "/secret", "fleet secret\n");
    }
    CommandLineFixture(const CommandLineFixture &) = delete;
    auto operator=(const CommandLineFixture &) -> CommandLineFixture & = delete;
    ~CommandLineFixture()
    {
        std::filesystem::remove_all(folder_);
    }

    static auto makeFolder(const std::string &folder) -> std::string
    {
        std::filesystem::create_directories(folder);
        return folder;
    }

    /** Runs the tool with the address of the store. */
    auto run(std::vector<std::string> arguments) -> ProgramResult
    {
        arguments.insert(arguments.begin(), programPath("lycheecleat"));
        arguments.insert(arguments.end(), { "--store", storeAddress_ });
        return runProgram("tool", arguments, folder_, toolLimit);
    }

    [[nodiscard]] auto path(const std::string &name) const -> std::string
    {
        return folder_ + "/" + name;
    }

    auto copyExample(const std::string &name) const -> void
    {
        std::filesystem::copy(std::string(SOURCE_FOLDER) + "/examples/ikivu", path(name), std::filesystem::copy_options::recursive);
    }
};

/** Simulates the administration API of a daemon. */
struct FakeDaemon
{
    std::string address_ = testAddress(1);
    std::atomic<int> revision_ = 0;
    std::atomic<int> withdrawals_ = 0;
    httplib::Server server_;
    std::thread thread_;

    FakeDaemon()
    {
        server_.Get("/v1/status", [this](const httplib::Request &, httplib::Response &response) {
            auto peers = nlohmann::json::array();
            for (const auto *zone : { "gisenyi-2", "kibuye-1", "kibuye-2", "cyangugu-1", "cyangugu-2" }) {
                peers.push_back({ { "name", std::string(zone) + "-a" }, { "zone", zone }, { "revision", revision_.load() }, { "age_ms", 100 } });
            }
            const auto body = nlohmann::json { { "host", "gisenyi-1-a" }, { "zone", "gisenyi-1" }, { "revision", revision_.load() }, { "peers", peers } };
            response.set_content(body.dump(), "application/json");
        });
        server_.Post("/v1/withdrawals", [this](const httplib::Request &, httplib::Response &response) {
            ++withdrawals_;
            const auto *const body = R"({"key":"k","accepted":true,"in_configuration":false,"confirmed_zones":["gisenyi-1"],"zones":["gisenyi-1"]})";
            response.set_content(body, "application/json");
        });
        const auto colon = address_.rfind(':');
        REQUIRE(server_.bind_to_port(address_.substr(0, colon).c_str(), std::stoi(address_.substr(colon + 1))));
        thread_ = std::thread([this] {
            server_.listen_after_bind();
        });
        while (!server_.is_running()) {
            std::this_thread::sleep_for(1ms);
        }
    }
    FakeDaemon(const FakeDaemon &) = delete;
    auto operator=(const FakeDaemon &) -> FakeDaemon & = delete;
    ~FakeDaemon()
    {
        server_.stop();
        thread_.join();
    }
};

auto replaceIn(const std::string &file, const std::string &from, const std::string &replacement) -> void
{
    auto text = readText(file);
    const auto position = text.find(from);
    REQUIRE(position != std::string::npos);
    writeText(file, text.replace(position, from.size(), replacement));
}

constexpr auto editedFile = "/40-organisations/gisenyi-divers.yaml";

}

// Guards against changes of the exit codes that scripts rely on, and against one operator's edit overwriting another's.
TEST_CASE("edits by two operators are merged, and conflicting edits are rejected")
{
    auto fixture = CommandLineFixture {};
    fixture.copyExample("one");
    CHECK(fixture.run({ "apply", fixture.path("one") }).exitCode_ == 0);
    CHECK(fixture.run({ "pull", fixture.path("two") }).exitCode_ == 0);
    CHECK(fixture.run({ "drain", "backend/billing-01" }).exitCode_ == 0);
    CHECK(fixture.run({ "drain", "backend/none" }).exitCode_ == 1);
    replaceIn(fixture.path("two") + editedFile, "burst: 20", "burst: 30");
    replaceIn(fixture.path("one") + editedFile, "burst: 20", "burst: 40");
    CHECK(fixture.run({ "apply", fixture.path("two") }).exitCode_ == 0);
    const auto conflict = fixture.run({ "apply", fixture.path("one") });
    CHECK(conflict.exitCode_ == 4);
    CHECK(conflict.errorOutput_.find("gisenyi-divers.yaml: this edit changes it") != std::string::npos);
    CHECK(fixture.run({ "pull", fixture.path("one") }).exitCode_ == 4);
    CHECK(readText(fixture.path("one") + editedFile).find("burst: 40") != std::string::npos);
    CHECK(fixture.run({ "pull", fixture.path("two") }).exitCode_ == 0);
    CHECK_FALSE(readText(fixture.path("two") + "/drains.d/backend-billing-01.yaml").empty());
    fixture.store_.kill();
    CHECK(fixture.run({ "apply", fixture.path("two") }).exitCode_ == 3);
    CHECK(fixture.run({ "apply" }).exitCode_ == 2);
}

// Guards against storing a key in plain text, a key that can't be withdrawn, and an apply that deletes keys missing from the folder.
TEST_CASE("keys are granted and withdrawn, and an apply does not delete them")
{
    auto fixture = CommandLineFixture {};
    fixture.copyExample("one");
    CHECK(fixture.run({ "apply", fixture.path("one") }).exitCode_ == 0);
    const auto granted = fixture.run({ "key", "grant", "lake-ferries", "ferry-1", "--secret-file", fixture.path("secret"), "--json" });
    REQUIRE(granted.exitCode_ == 0);
    const auto key = nlohmann::json::parse(granted.output_).at("key").get<std::string>();
    CHECK(fixture.run({ "key", "grant", "nobody", "--secret-file", fixture.path("secret") }).exitCode_ == 1);
    replaceIn(fixture.path("one") + editedFile, "burst: 20", "burst: 30");
    CHECK(fixture.run({ "apply", fixture.path("one") }).exitCode_ == 0);
    CHECK(fixture.run({ "key", "withdraw", "ferry-1" }).exitCode_ == 0);
    CHECK(fixture.run({ "key", "withdraw", "ferry-2" }).exitCode_ == 1);
    CHECK(fixture.run({ "pull", fixture.path("two") }).exitCode_ == 0);
    const auto file = readText(fixture.path("two") + "/keys.d/ferry-1.yaml");
    CHECK(file.find("state: withdrawn") != std::string::npos);
    CHECK(file.find(lycheecleat::hmacHex("fleet secret", key)) != std::string::npos);
    CHECK(file.find(key) == std::string::npos);
}

// Guards against reporting a change as in force before all zones have confirmed it, and against a withdrawal that depends on the store.
TEST_CASE("an apply waits until all zones confirm the change, and a withdrawal works without the store")
{
    auto fixture = CommandLineFixture {};
    auto daemon = FakeDaemon {};
    fixture.copyExample("one");
    const auto unconfirmed = fixture.run({ "apply", fixture.path("one"), "--admin", daemon.address_, "--wait", "300ms", "--json" });
    CHECK(unconfirmed.exitCode_ == 3);
    CHECK(nlohmann::json::parse(unconfirmed.output_).at("unconfirmed_zones").size() == 6);
    daemon.revision_ = 1;
    const auto confirmed = fixture.run({ "apply", fixture.path("one"), "--admin", daemon.address_ });
    CHECK(confirmed.exitCode_ == 0);
    CHECK(confirmed.output_.find("in force in every zone") != std::string::npos);
    fixture.store_.kill();
    const auto withdrawn = fixture.run({ "key", "withdraw", "k", "--admin", daemon.address_ });
    CHECK(withdrawn.exitCode_ == 0);
    CHECK(withdrawn.output_.find("confirmed by 1 of 1 zones: gisenyi-1") != std::string::npos);
    CHECK(daemon.withdrawals_ == 1);
    const auto status = runProgram("tool", { programPath("lycheecleat"), "status", "--admin", daemon.address_ }, fixture.folder_, toolLimit);
    CHECK(status.exitCode_ == 0);
    CHECK(status.output_.find("kibuye-1-a") != std::string::npos);
}
