#include "version/bundle.h"

#include "core/digest.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace lycheecleat
{

namespace
{

using Json = nlohmann::json;

constexpr auto unpackStep = "unpack bundle";
constexpr auto headStep = "parse head record";

auto bucketOf(const std::string &fileName) -> int
{
    return static_cast<int>(stableHash(fileName) % bucketCount);
}

auto latestChangeIds(const std::vector<std::string> &changeIds) -> std::vector<std::string>
{
    const auto count = std::min(changeIds.size(), maximumChangeIds);
    return { changeIds.end() - static_cast<std::ptrdiff_t>(count), changeIds.end() };
}

auto contentsByName(const RuleFiles &files) -> std::map<std::string, std::string>
{
    auto contents = std::map<std::string, std::string> {};
    for (const auto &file : files) {
        contents.emplace(file.name_, file.content_);
    }
    return contents;
}

auto filesOf(const std::map<std::string, std::string> &contents) -> RuleFiles
{
    auto files = RuleFiles {};
    for (const auto &entry : contents) {
        files.push_back({ entry.first, entry.second });
    }
    return files;
}

auto serializeChunk(const std::map<std::string, std::string> &contents) -> Result<std::string>
{
    try {
        return Json(contents).dump();
    } catch (const Json::exception &exception) {
        return makeError(packStep, "", fmt::format("a file is not valid UTF-8 text: {}", exception.what()));
    }
}

auto parseChunk(const std::string &digest, const std::string &text) -> Result<std::map<std::string, std::string>>
{
    if (sha256Hex(text) != digest) {
        return makeError(unpackStep, digest, "the chunk's content has another digest");
    }
    try {
        return Json::parse(text).get<std::map<std::string, std::string>>();
    } catch (const Json::exception &exception) {
        return makeError(unpackStep, digest, fmt::format("malformed chunk: {}", exception.what()));
    }
}

auto contentIn(const std::map<std::string, std::string> &contents, const std::string &name) -> std::optional<std::string>
{
    const auto found = contents.find(name);
    return found == contents.end() ? std::nullopt : std::optional(found->second);
}

auto describeEdit(const std::optional<std::string> &before, const std::optional<std::string> &after) -> std::string
{
    if (!before) {
        return "adds it";
    }
    return after ? "changes it" : "removes it";
}

auto describeConflict(const FileEdit &edit, const std::optional<std::string> &stored) -> std::string
{
    const auto thisChange = describeEdit(edit.before_, edit.after_);
    const auto storedChange = describeEdit(edit.before_, stored);
    return fmt::format("{}: this edit {}, and an edit made since the folder was pulled {}", edit.name_, thisChange, storedChange);
}

}

auto packBundle(const RuleFiles &files, std::int64_t revision, const std::vector<std::string> &changeIds) -> Result<Bundle>
{
    auto buckets = std::map<int, std::map<std::string, std::string>> {};
    for (const auto &file : files) {
        buckets[bucketOf(file.name_)].emplace(file.name_, file.content_);
    }
    auto bundle = Bundle { { revision, {}, latestChangeIds(changeIds) }, {} };
    for (const auto &[bucket, contents] : buckets) {
        BOOST_LEAF_AUTO(text, serializeChunk(contents));
        if (text.size() > maximumChunkBytes) {
            constexpr auto message = "the files of bucket {} take {} bytes, starting with {}; allowed: {} bytes";
            return makeError(packStep, "", fmt::format(message, bucket, text.size(), contents.begin()->first, maximumChunkBytes));
        }
        const auto digest = sha256Hex(text);
        bundle.head_.chunks_.emplace(bucket, digest);
        bundle.chunks_.emplace(digest, std::move(text));
    }
    return bundle;
}

auto unpackBundle(const Bundle &bundle) -> Result<RuleFiles>
{
    auto contents = std::map<std::string, std::string> {};
    for (const auto &[bucket, digest] : bundle.head_.chunks_) {
        const auto chunk = bundle.chunks_.find(digest);
        if (chunk == bundle.chunks_.end()) {
            return makeError(unpackStep, digest, fmt::format("the chunk of bucket {} is missing", bucket));
        }
        BOOST_LEAF_AUTO(files, parseChunk(digest, chunk->second));
        contents.merge(files);
    }
    return filesOf(contents);
}

auto serializeHead(const Head &head) -> std::string
{
    auto chunks = Json::object();
    for (const auto &[bucket, digest] : head.chunks_) {
        chunks[std::to_string(bucket)] = digest;
    }
    return Json { { "revision", head.revision_ }, { "chunks", chunks }, { "changes", head.changeIds_ } }.dump();
}

auto parseHead(const std::string &text) -> Result<Head>
{
    try {
        const auto json = Json::parse(text);
        auto head = Head {};
        head.revision_ = json.at("revision").get<std::int64_t>();
        head.changeIds_ = json.at("changes").get<std::vector<std::string>>();
        for (const auto &[bucket, digest] : json.at("chunks").items()) {
            head.chunks_.emplace(std::stoi(bucket), digest.get<std::string>());
        }
        return head;
    } catch (const std::exception &exception) {
        return makeError(headStep, "", exception.what());
    }
}

auto diffRuleFiles(const RuleFiles &before, const RuleFiles &after) -> std::vector<FileEdit>
{
    const auto contentsBefore = contentsByName(before);
    const auto contentsAfter = contentsByName(after);
    auto names = contentsBefore;
    names.insert(contentsAfter.begin(), contentsAfter.end());
    auto edits = std::vector<FileEdit> {};
    for (const auto &entry : names) {
        auto edit = FileEdit { entry.first, contentIn(contentsBefore, entry.first), contentIn(contentsAfter, entry.first) };
        if (edit.before_ != edit.after_) {
            edits.push_back(std::move(edit));
        }
    }
    return edits;
}

auto mergeEdits(const RuleFiles &current, const std::vector<FileEdit> &edits) -> Result<RuleFiles>
{
    auto contents = contentsByName(current);
    auto conflicts = std::string {};
    for (const auto &edit : edits) {
        const auto stored = contentIn(contents, edit.name_);
        if (stored != edit.before_ && stored != edit.after_) {
            conflicts += (conflicts.empty() ? "" : "\n") + describeConflict(edit, stored);
        } else if (edit.after_) {
            contents.insert_or_assign(edit.name_, *edit.after_);
        } else {
            contents.erase(edit.name_);
        }
    }
    if (!conflicts.empty()) {
        return makeError(mergeStep, "", conflicts);
    }
    return filesOf(contents);
}

}
