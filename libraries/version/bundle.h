/** Storage format of a set of rule files: a head record that refers to content-addressed chunks. */
#pragma once

#include "core/error.h"
#include "version/rulefile.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lycheecleat
{

/** Store key of the head record. */
inline constexpr auto headKey = "head";

/** Store key prefix of the chunks; the chunk's SHA-256 in hexadecimal follows. */
inline constexpr auto chunkKeyPrefix = "chunk/";

/** Number of buckets that file names are hashed into; each bucket is stored as one chunk. */
inline constexpr auto bucketCount = 16;

/** Largest serialized chunk in bytes; the store accepts values of up to a megabyte. */
inline constexpr auto maximumChunkBytes = std::size_t { 512 } * 1024;

/** Number of change identifiers retained in the head. */
inline constexpr auto maximumChangeIds = std::size_t { 64 };

/** Error::step_ of the errors of packBundle. */
inline constexpr auto packStep = "pack bundle";

/** Error::step_ of the error that mergeEdits returns for a conflict. */
inline constexpr auto mergeStep = "merge edits";

/** The head record. */
struct Head
{
    std::int64_t revision_ = 0;
    /** Chunk digest by bucket number; empty buckets are left out. */
    std::map<int, std::string> chunks_;
    std::vector<std::string> changeIds_;

    auto operator==(const Head &other) const -> bool = default;
};

/** A head with the content of all its chunks by digest. */
struct Bundle
{
    Head head_;
    std::map<std::string, std::string> chunks_;

    auto operator==(const Bundle &other) const -> bool = default;
};

/** An edit of one file, based on its content when the folder was pulled. */
struct FileEdit
{
    std::string name_;
    /** Content before; absent when the file is new. */
    std::optional<std::string> before_;
    /** Content after; absent when the file is removed. */
    std::optional<std::string> after_;

    auto operator==(const FileEdit &other) const -> bool = default;
};

/**
 * Packs files under a revision; only the newest maximumChangeIds identifiers are retained. Errors: a chunk would be larger than maximumChunkBytes,
 * or a file is not valid UTF-8.
 */
[[nodiscard]] auto packBundle(const RuleFiles &files, std::int64_t revision, const std::vector<std::string> &changeIds) -> Result<Bundle>;

/** Unpacks the files, sorted by name. Errors: a chunk is missing, has another digest, or is malformed. */
[[nodiscard]] auto unpackBundle(const Bundle &bundle) -> Result<RuleFiles>;

/** The head as the JSON text that is stored. Equal heads serialize to equal text; its SHA-256 is the configuration's digest. */
[[nodiscard]] auto serializeHead(const Head &head) -> std::string;

/** Parses a stored head. Errors: malformed text. */
[[nodiscard]] auto parseHead(const std::string &text) -> Result<Head>;

/** The edits that turn `before` into `after`. */
[[nodiscard]] auto diffRuleFiles(const RuleFiles &before, const RuleFiles &after) -> std::vector<FileEdit>;

/**
 * Applies edits to the current files. Errors: a file differs from both the base and the result of its edit; the error lists every such file and
 * no edit is applied.
 */
[[nodiscard]] auto mergeEdits(const RuleFiles &current, const std::vector<FileEdit> &edits) -> Result<RuleFiles>;

}
