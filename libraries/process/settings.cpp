#include "process/settings.h"

#include "core/socketaddress.h"

#include <fmt/format.h>
#include <yaml-cpp/yaml.h>

#include <fstream>
#include <functional>
#include <iterator>
#include <map>
#include <set>

namespace lycheecleat
{

namespace
{

constexpr auto minimumThreads = 1;
constexpr auto maximumThreads = 65536;
constexpr auto minimumLookupLifetime = absl::Seconds(1);
constexpr auto maximumLookupLifetime = absl::Minutes(10);

/** Collects problems while fields are read. */
struct ProblemCollector
{
    std::string file_;
    std::vector<RuleProblem> problems_;

    auto report(const YAML::Mark &mark, const std::string &field, const std::string &message) -> void
    {
        problems_.push_back(RuleProblem { file_, mark.is_null() ? 0 : mark.line + 1, field, message });
    }
};

/** Parses one field into the settings. Returns a description of the allowed values if the text is invalid, otherwise an empty string. */
using FieldReader = std::function<std::string(const std::string &)>;
using FieldReaders = std::map<std::string, FieldReader>;

auto readName(std::string &target) -> FieldReader
{
    return [&target](const std::string &text) -> std::string {
        target = text;
        const auto allowed = std::string("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_");
        const auto valid = !text.empty() && text.find_first_not_of(allowed) == std::string::npos;
        return valid ? "" : "must be a name of letters, digits, '-' and '_'";
    };
}

auto readAddress(std::string &target) -> FieldReader
{
    return [&target](const std::string &text) -> std::string {
        target = text;
        return parseSocketAddress(text) ? "" : "must be an IP address and a port from 1 to 65535, such as 127.0.0.1:8080";
    };
}

auto readPath(std::string &target) -> FieldReader
{
    return [&target](const std::string &text) -> std::string {
        target = text;
        return text.empty() ? "must be the path of a file" : "";
    };
}

auto readThreads(int &target) -> FieldReader
{
    return [&target](const std::string &text) -> std::string {
        const auto valid = YAML::convert<int>::decode(YAML::Node(text), target) && target >= minimumThreads && target <= maximumThreads;
        return valid ? "" : fmt::format("must be a whole number from {} to {}", minimumThreads, maximumThreads);
    };
}

auto readLifetime(absl::Duration &target) -> FieldReader
{
    return [&target](const std::string &text) -> std::string {
        const auto valid = absl::ParseDuration(text, &target) && target >= minimumLookupLifetime && target <= maximumLookupLifetime;
        return valid ? "" : "must be a duration from 1s to 10m, such as 5s";
    };
}

template<typename Value>
auto readChoice(Value &target, std::map<std::string, Value> choices) -> FieldReader
{
    return [&target, choices = std::move(choices)](const std::string &text) -> std::string {
        const auto found = choices.find(text);
        if (found != choices.end()) {
            target = found->second;
            return "";
        }
        auto names = std::string {};
        for (const auto &[name, value] : choices) {
            names += (names.empty() ? "" : ", ") + name;
        }
        return "must be one of: " + names;
    };
}

auto readLinesPerSecond(double &target) -> FieldReader
{
    return [&target](const std::string &text) -> std::string {
        const auto valid = YAML::convert<double>::decode(YAML::Node(text), target) && target >= 1 && target <= 1e6;
        return valid ? "" : "must be a number from 1 to 1000000";
    };
}

auto settingsReaders(Settings &settings) -> FieldReaders
{
    return FieldReaders {
        { "name", readName(settings.name_) },
        { "zone", readName(settings.zone_) },
        { "listen", readAddress(settings.listen_) },
        { "peer_listen", readAddress(settings.peerListen_) },
        { "admin_listen", readAddress(settings.adminListen_) },
        { "store", readAddress(settings.store_) },
        { "secret_file", readPath(settings.secretFile_) },
        { "operator_key_file", readPath(settings.operatorKeyFile_) },
        { "threads", readThreads(settings.threads_) },
        { "lookup_lifetime", readLifetime(settings.lookupLifetime_) },
    };
}

auto logReaders(LogSettings &settings) -> FieldReaders
{
    const auto levels = std::map<std::string, LogLevel> {
        { "debug", LogLevel::Debug },
        { "info", LogLevel::Info },
        { "warning", LogLevel::Warning },
        { "error", LogLevel::Error },
    };
    const auto formats = std::map<std::string, LogFormat> {
        { "key-value", LogFormat::KeyValue },
        { "json", LogFormat::Json },
    };
    return FieldReaders {
        { "log.level", readChoice(settings.level_, levels) },
        { "log.format", readChoice(settings.format_, formats) },
        { "log.lines_per_second", readLinesPerSecond(settings.linesPerSecond_) },
    };
}

auto joinNames(const FieldReaders &readers) -> std::string
{
    auto names = std::string {};
    for (const auto &[name, reader] : readers) {
        names += (names.empty() ? "" : ", ") + name;
    }
    return names;
}

auto readField(ProblemCollector &collector, const FieldReaders &readers, const std::string &name, const YAML::Node &key, const YAML::Node &value) -> void
{
    const auto reader = readers.find(name);
    if (reader == readers.end()) {
        collector.report(key.Mark(), name, "unknown field; allowed: " + joinNames(readers));
        return;
    }
    if (!value.IsScalar()) {
        collector.report(key.Mark(), name, "must be a single value");
        return;
    }
    const auto allowed = reader->second(value.Scalar());
    if (!allowed.empty()) {
        collector.report(value.Mark(), name, fmt::format("{}, not '{}'", allowed, value.Scalar()));
    }
}

auto readLog(ProblemCollector &collector, const YAML::Node &key, const YAML::Node &value, LogSettings &settings) -> void
{
    if (!value.IsMap()) {
        collector.report(key.Mark(), "log", "must be a map with the fields level, format and lines_per_second");
        return;
    }
    auto seen = std::set<std::string> {};
    for (const auto &entry : value) {
        const auto name = "log." + entry.first.as<std::string>("");
        if (!seen.insert(name).second) {
            collector.report(entry.first.Mark(), name, "is set more than once");
        }
        readField(collector, logReaders(settings), name, entry.first, entry.second);
    }
}

auto checkRequired(ProblemCollector &collector, const std::set<std::string> &seen) -> void
{
    for (const auto *name : { "name", "zone", "listen", "peer_listen", "admin_listen", "store", "secret_file" }) {
        if (seen.count(name) == 0) {
            collector.problems_.push_back(RuleProblem { collector.file_, 0, name, "is missing and has no default" });
        }
    }
}

auto readAll(ProblemCollector &collector, const YAML::Node &root, Settings &settings) -> void
{
    if (!root.IsMap()) {
        collector.report(root.Mark(), "", "must be a YAML map of settings");
        return;
    }
    const auto readers = settingsReaders(settings);
    auto seen = std::set<std::string> {};
    for (const auto &entry : root) {
        const auto name = entry.first.as<std::string>("");
        if (!seen.insert(name).second) {
            collector.report(entry.first.Mark(), name, "is set more than once");
        }
        if (name == "log") {
            readLog(collector, entry.first, entry.second, settings.log_);
        } else {
            readField(collector, readers, name, entry.first, entry.second);
        }
    }
    checkRequired(collector, seen);
}

auto formatProblem(const RuleProblem &problem) -> std::string
{
    return fmt::format("{}:{}: {}: {}", problem.file_, problem.line_, problem.field_, problem.message_);
}

auto readFile(const std::string &file) -> Result<std::string>
{
    auto stream = std::ifstream(file, std::ios::binary);
    if (!stream) {
        return makeError("read file", file, "cannot be opened");
    }
    return std::string(std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>());
}

}

auto checkSettings(const std::string &file, const std::string &text) -> CheckedSettings
{
    auto checked = CheckedSettings {};
    auto collector = ProblemCollector { file, {} };
    try {
        readAll(collector, YAML::Load(text), checked.settings_);
    } catch (const YAML::Exception &exception) {
        collector.report(exception.mark, "", "is not valid YAML: " + exception.msg);
    }
    checked.problems_ = std::move(collector.problems_);
    return checked;
}

auto readSettings(const std::string &file) -> Result<Settings>
{
    BOOST_LEAF_AUTO(text, readFile(file));
    auto checked = checkSettings(file, text);
    if (checked.problems_.empty()) {
        return checked.settings_;
    }
    auto lines = std::string {};
    for (const auto &problem : checked.problems_) {
        lines += "\n" + formatProblem(problem);
    }
    return makeError("check settings", file, lines);
}

auto readSecret(const std::string &file) -> Result<std::string>
{
    BOOST_LEAF_AUTO(text, readFile(file));
    const auto end = text.find_last_not_of(" \t\r\n");
    if (end == std::string::npos) {
        return makeError("read secret", file, "is empty");
    }
    return text.substr(0, end + 1);
}

}
