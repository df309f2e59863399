#include "support/deployment.h"

#include "support/caller.h"
#include "support/controlcall.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <arpa/inet.h>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace integration
{

namespace
{

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

/** Below the kernel's range of ephemeral ports, so that no outgoing connection occupies them. */
constexpr auto storePort = 7000;
constexpr auto callerPort = 7100;
constexpr auto peerPort = 7200;
constexpr auto adminPort = 7300;
constexpr auto backendPort = 7400;
constexpr auto proxyPort = 7500;
/** Address blocks for test programs: 127.64.0.0/16 to 127.249.0.0/16. The examples use other blocks. */
constexpr auto firstBlock = 64;
constexpr auto blockCount = 186;

constexpr auto startLimit = std::chrono::seconds { 20 };
constexpr auto toolLimit = std::chrono::seconds { 30 };
constexpr auto pollInterval = std::chrono::milliseconds { 50 };
constexpr auto statusOk = 200;

auto isBlockFree(int block) -> bool
{
    const auto probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = sockaddr_in {};
    address.sin_family = AF_INET;
    address.sin_port = htons(storePort);
    inet_pton(AF_INET, fmt::format("127.{}.0.1", block).c_str(), &address.sin_addr);
    const auto on = 1;
    setsockopt(probe, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const auto isBound = bind(probe, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
    close(probe);
    return isBound;
}

auto zoneName(int region, int zone) -> std::string
{
    return fmt::format("r{}-{}", region, zone);
}

auto yamlList(const std::vector<std::string> &words) -> std::string
{
    return fmt::format("[{}]", fmt::join(words, ", "));
}

auto requireReady(Process &process, const std::string &text) -> void
{
    if (!process.waitForText(text, startLimit)) {
        throw std::runtime_error(fmt::format("{} did not start: {}{}", process.name(), process.output(), process.errorOutput()));
    }
}

template<typename Element>
auto findNamed(std::vector<Element> &elements, const std::string &name) -> Element &
{
    const auto found = std::find_if(elements.begin(), elements.end(), [&](const auto &element) {
        return element.name_ == name;
    });
    if (found == elements.end()) {
        throw std::runtime_error("the deployment has no process named " + name);
    }
    return *found;
}

}

Deployment::Deployment(DeploymentSettings settings)
    : settings_(std::move(settings))
{
    folder_ = (std::filesystem::temp_directory_path() / fmt::format("lycheecleat-{}-{}", getpid(), makeTestId())).string();
    std::filesystem::create_directories(folder_);
    secretFile_ = folder_ + "/secret";
    operatorKeyFile_ = folder_ + "/operator-key";
    writeText(secretFile_, "a fleet secret for tests only, 32 bytes or more\n");
    writeText(operatorKeyFile_, "operator-key-for-tests\n");
    chooseAddressBlock();
    assignAddresses();
    writeRules();
    startStore();
    startProxy();
    for (auto &backend : backends_) {
        startBackend(backend);
    }
    const auto applied = applyRules();
    if (applied.exitCode_ != 0) {
        throw std::runtime_error("applying the rules failed: " + applied.output_ + applied.errorOutput_);
    }
    for (auto &host : hosts_) {
        startHost(host);
    }
    waitUntilServing();
}

Deployment::~Deployment()
{
    hosts_.clear();
    backends_.clear();
    proxy_.reset();
    store_.reset();
    // Keeps the folder for debugging if an exception ends the test.
    if (std::uncaught_exceptions() == 0 && std::getenv("KEEP_TEST_FILES") == nullptr) {
        auto error = std::error_code {};
        std::filesystem::remove_all(folder_, error);
    }
}

auto Deployment::settings() const -> const DeploymentSettings &
{
    return settings_;
}

auto Deployment::hosts() -> std::vector<TestHost> &
{
    return hosts_;
}

auto Deployment::backends() -> std::vector<TestBackend> &
{
    return backends_;
}

auto Deployment::host(const std::string &name) -> TestHost &
{
    return findNamed(hosts_, name);
}

auto Deployment::backend(const std::string &name) -> TestBackend &
{
    return findNamed(backends_, name);
}

auto Deployment::store() -> Process &
{
    return *store_;
}

auto Deployment::storeAddress() const -> const std::string &
{
    return storeAddress_;
}

auto Deployment::folder() const -> const std::string &
{
    return folder_;
}

auto Deployment::ruleFolder() const -> std::string
{
    return folder_ + "/rules";
}

auto Deployment::addressOf(int thirdOctet, int fourthOctet, int port) const -> std::string
{
    return fmt::format("127.{}.{}.{}:{}", addressBlock_, thirdOctet, fourthOctet, port);
}

auto Deployment::chooseAddressBlock() -> void
{
    for (auto attempt = 0; attempt < blockCount; ++attempt) {
        addressBlock_ = firstBlock + (getpid() + attempt) % blockCount;
        if (isBlockFree(addressBlock_)) {
            storeAddress_ = addressOf(0, 1, storePort);
            proxyControl_ = addressOf(0, 2, proxyPort);
            return;
        }
    }
    throw std::runtime_error("no free block of loopback addresses for the deployment");
}

auto Deployment::assignAddresses() -> void
{
    auto zoneNumber = 0;
    for (auto region = 1; region <= settings_.regions_; ++region) {
        for (auto zone = 1; zone <= settings_.zonesPerRegion_; ++zone) {
            ++zoneNumber;
            const auto name = zoneName(region, zone);
            const auto regionName = fmt::format("r{}", region);
            for (auto number = 1; number <= settings_.hostsPerZone_; ++number) {
                const auto listen = addressOf(zoneNumber, number, peerPort);
                hosts_.push_back(TestHost { fmt::format("{}-h{}", name, number),
                                            name,
                                            regionName,
                                            addressOf(zoneNumber, number, callerPort),
                                            listen,
                                            settings_.usesFaultProxy_ ? addressOf(zoneNumber, number, proxyPort) : listen,
                                            addressOf(zoneNumber, number, adminPort),
                                            settings_.usesFaultProxy_ ? addressOf(zoneNumber, number, proxyPort + 1) : storeAddress_,
                                            nullptr });
            }
            for (auto number = 1; number <= settings_.backendsPerZone_; ++number) {
                const auto listen = addressOf(100 + zoneNumber, number, backendPort);
                const auto backendName = fmt::format("{}-b{}", name, number);
                backends_.push_back(TestBackend { backendName,
                                                  name,
                                                  regionName,
                                                  listen,
                                                  settings_.usesFaultProxy_ ? addressOf(100 + zoneNumber, number, proxyPort) : listen,
                                                  folder_ + "/" + backendName + ".executions",
                                                  nullptr });
            }
        }
    }
}

auto Deployment::writeRules() -> void
{
    auto storeZones = std::vector<std::string> {};
    for (auto region = 1; region <= settings_.regions_; ++region) {
        auto zones = std::vector<std::string> {};
        for (auto zone = 1; zone <= settings_.zonesPerRegion_; ++zone) {
            zones.push_back(zoneName(region, zone));
        }
        storeZones = region == 1 ? zones : storeZones;
        writeRule(fmt::format("10-region-r{}.yaml", region), fmt::format("kind: region\nname: r{}\nzones: {}\n", region, yamlList(zones)));
        // Callers of region N use addresses in 127.(9+N).0.0/16; callers with a default loopback address belong to the first region.
        const auto blocks = fmt::format("{}127.{}.0.0/16", region == 1 ? "127.0.0.0/16, " : "", 9 + region);
        writeRule(fmt::format("30-clients-r{}.yaml", region),
                  fmt::format("kind: client-blocks\nname: near-r{0}\nregion: r{0}\nblocks: [{1}]\n", region, blocks));
    }
    writeRule(
        "00-platform.yaml",
        fmt::format("kind: platform\nname: platform\nstore_zones: {}\nfreshness: {}\nloan: {}\n", yamlList(storeZones), settings_.freshness_, settings_.loan_));
    for (const auto &host : hosts_) {
        writeRule(fmt::format("20-host-{}.yaml", host.name_),
                  fmt::format("kind: entry-host\nname: {}\nzone: {}\naddress: {}\npeer: {}\n", host.name_, host.zone_, host.address_, host.peerAddress_));
    }
    for (const auto &organisation : settings_.organisations_) {
        writeRule(fmt::format("40-organisation-{}.yaml", organisation.name_),
                  fmt::format("kind: organisation\nname: {}\nrate: {}\nburst: {}\nweight: 1\n", organisation.name_, organisation.rate_, organisation.burst_));
    }
    auto pool = fmt::format("kind: pool\nname: main\nslots: {}\nslow_start: {}\nbackends:\n", settings_.slots_, settings_.slowStart_);
    for (const auto &backend : backends_) {
        pool += fmt::format("  - {{name: {}, zone: {}, address: '{}'}}\n", backend.name_, backend.zone_, backend.address_);
    }
    writeRule("50-pool-main.yaml", pool);
    const auto route = [&](const std::string &file, const std::string &name, const std::string &path, const std::string &access, bool isRepeatable) {
        writeRule(file,
                  fmt::format("kind: route\nname: {}\nhost: '*'\npath: {}\npool: main\naccess: {}\nrepeatable: {}\ndeadline: {}\nbody_limit: 1MiB\n",
                              name,
                              path,
                              access,
                              isRepeatable,
                              settings_.routeDeadline_));
    };
    route("60-route-1-open.yaml", "open", "/open", "open", true);
    route("60-route-2-once.yaml", "once", "/once", "keyed", false);
    route("60-route-3-keyed.yaml", "keyed", "/", "keyed", true);
    for (const auto &[name, text] : settings_.ruleFiles_) {
        writeRule(name, text);
    }
}

auto Deployment::startStore() -> void
{
    auto command = std::vector<std::string> { programPath("store_standin"), "--listen", storeAddress_ };
    command.insert(command.end(), settings_.storeOptions_.begin(), settings_.storeOptions_.end());
    store_ = std::make_unique<Process>("store", command, folder_);
    requireReady(*store_, "ready");
}

auto Deployment::startProxy() -> void
{
    if (!settings_.usesFaultProxy_) {
        return;
    }
    auto command = std::vector<std::string> { programPath("fault_proxy"), "--control", proxyControl_ };
    for (const auto &host : hosts_) {
        command.push_back(fmt::format("store-{},{},{}", host.name_, host.storeAddress_, storeAddress_));
        command.push_back(fmt::format("peer-{},{},{}", host.name_, host.peerAddress_, host.peerListen_));
    }
    for (const auto &backend : backends_) {
        command.push_back(fmt::format("backend-{},{},{}", backend.name_, backend.address_, backend.listen_));
    }
    proxy_ = std::make_unique<Process>("proxy", command, folder_);
    requireReady(*proxy_, "ready");
}

auto Deployment::startBackend(TestBackend &backend) -> void
{
    auto command = std::vector<std::string> { programPath("backend_standin"),
                                              "--listen",
                                              backend.listen_,
                                              "--name",
                                              backend.name_,
                                              "--slots",
                                              std::to_string(settings_.slots_),
                                              "--service-ms",
                                              std::to_string(settings_.serviceMilliseconds_),
                                              "--executions",
                                              backend.executionsFile_ };
    command.insert(command.end(), settings_.backendOptions_.begin(), settings_.backendOptions_.end());
    backend.process_.reset();
    backend.process_ = std::make_unique<Process>(backend.name_, command, folder_);
    requireReady(*backend.process_, "ready");
}

auto Deployment::startHost(TestHost &host) -> void
{
    const auto settingsFile = fmt::format("{}/{}.yaml", folder_, host.name_);
    writeText(settingsFile,
              fmt::format("name: {}\nzone: {}\nlisten: {}\npeer_listen: {}\nadmin_listen: {}\nstore: {}\nsecret_file: {}\noperator_key_file: {}\n"
                          "threads: {}\nlookup_lifetime: {}\nlog: {{level: info, format: key-value, lines_per_second: 2000}}\n",
                          host.name_,
                          host.zone_,
                          host.address_,
                          host.peerListen_,
                          host.adminAddress_,
                          host.storeAddress_,
                          secretFile_,
                          operatorKeyFile_,
                          settings_.threads_,
                          settings_.lookupLifetime_));
    host.process_.reset();
    host.process_ = std::make_unique<Process>(host.name_, std::vector<std::string> { programPath("lycheecleatd"), "--settings", settingsFile }, folder_);
    sendSourcesToProxy();
    requireReady(*host.process_, "event=ready");
}

auto Deployment::sendSourcesToProxy() -> void
{
    if (!settings_.usesFaultProxy_) {
        return;
    }
    auto sources = Json::object();
    for (auto &host : hosts_) {
        if (host.process_ && host.process_->isRunning()) {
            sources[host.name_] = host.process_->pid();
        }
    }
    postControl(proxyControl_, "/control/sources", sources);
}

auto Deployment::waitUntilServing(std::chrono::milliseconds limit) -> void
{
    const auto deadline = Clock::now() + limit;
    for (auto &host : hosts_) {
        if (!host.process_ || !host.process_->isRunning()) {
            continue;
        }
        auto caller = Caller {};
        auto request = CallerRequest {};
        request.path_ = "/open/start";
        auto response = caller.send(host.address_, request);
        while (response.status_ != statusOk && Clock::now() < deadline) {
            std::this_thread::sleep_for(pollInterval);
            response = caller.send(host.address_, request);
        }
        if (response.status_ != statusOk) {
            throw std::runtime_error(fmt::format("{} does not serve open requests: status {} {} {}\n{}",
                                                 host.name_,
                                                 response.status_,
                                                 response.reason_,
                                                 response.error_,
                                                 host.process_->errorOutput()));
        }
    }
}

auto Deployment::writeRule(const std::string &name, const std::string &text) -> void
{
    writeText(ruleFolder() + "/" + name, text);
}

auto Deployment::removeRule(const std::string &name) -> void
{
    std::filesystem::remove(ruleFolder() + "/" + name);
}

auto Deployment::applyRules() -> ProgramResult
{
    return runTool({ "apply", ruleFolder() });
}

auto Deployment::runTool(const std::vector<std::string> &arguments) -> ProgramResult
{
    auto command = std::vector<std::string> { programPath("lycheecleat") };
    command.insert(command.end(), arguments.begin(), arguments.end());
    if (arguments.front() != "check") {
        command.insert(command.end(), { "--store", storeAddress_ });
    }
    return runProgram("tool", command, folder_, toolLimit);
}

auto Deployment::grantKey(const std::string &organisation) -> GrantedKey
{
    const auto result = runTool({ "key", "grant", organisation, "--secret-file", secretFile_, "--json" });
    const auto report = Json::parse(result.output_, nullptr, false);
    if (result.exitCode_ != 0 || !report.is_object()) {
        throw std::runtime_error("granting a key failed: " + result.output_ + result.errorOutput_);
    }
    return GrantedKey { report.at("name").get<std::string>(), report.at("key").get<std::string>() };
}

auto Deployment::waitUntilKeyAccepted(const std::string &key, std::chrono::milliseconds limit) -> void
{
    const auto deadline = Clock::now() + limit;
    auto caller = Caller {};
    auto request = CallerRequest {};
    request.path_ = "/accepted";
    request.key_ = key;
    for (auto &host : hosts_) {
        while (host.process_ && host.process_->isRunning()) {
            const auto response = caller.send(host.address_, request);
            if (response.status_ == statusOk) {
                break;
            }
            if (Clock::now() >= deadline) {
                throw std::runtime_error(
                    fmt::format("{} does not accept the key: status {} {} {}", host.name_, response.status_, response.reason_, response.error_));
            }
            std::this_thread::sleep_for(pollInterval);
        }
    }
}

auto Deployment::injectFault(const std::string &fault, const std::vector<std::string> &links, nlohmann::json body, const std::vector<std::string> &sources)
    -> void
{
    if (!proxy_) {
        throw std::runtime_error("fault injection requires a deployment with the fault proxy");
    }
    body["links"] = links;
    body["sources"] = sources;
    postControl(proxyControl_, "/control/" + fault, body);
}

auto Deployment::isolateZone(const std::string &zone, bool on) -> void
{
    auto insideHosts = std::vector<std::string> {};
    auto outsideHosts = std::vector<std::string> {};
    auto storeLinks = std::vector<std::string> {};
    auto insideLinks = std::vector<std::string> {};
    auto outsideLinks = std::vector<std::string> {};
    for (const auto &host : hosts_) {
        const auto isInside = host.zone_ == zone;
        (isInside ? insideHosts : outsideHosts).push_back(host.name_);
        (isInside ? insideLinks : outsideLinks).push_back("peer-" + host.name_);
        if (isInside) {
            storeLinks.push_back("store-" + host.name_);
        }
    }
    for (const auto &backend : backends_) {
        (backend.zone_ == zone ? insideLinks : outsideLinks).push_back("backend-" + backend.name_);
    }
    const auto body = Json { { "on", on } };
    injectFault("freeze", storeLinks, body);
    injectFault("freeze", insideLinks, body, outsideHosts);
    injectFault("freeze", outsideLinks, body, insideHosts);
}

auto Deployment::executions() const -> std::map<std::string, int>
{
    auto counts = std::map<std::string, int> {};
    for (const auto &backend : backends_) {
        auto stream = std::ifstream(backend.executionsFile_);
        auto testId = std::string {};
        while (std::getline(stream, testId)) {
            ++counts[testId];
        }
    }
    return counts;
}

}
