/** Which organisations use much of this host's parts of their limits. The host announces it, so that its next process does not admit the same again. */
#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <optional>
#include <set>
#include <string>

namespace lycheecleat
{

/** Names of organisations. */
using OrganisationNames = std::set<std::string>;

/** The stored form of an announcement, as JSON. */
[[nodiscard]] auto encodeAnnouncement(const OrganisationNames &organisations) -> std::string;

/** Decodes the stored form; none if the text is no announcement. */
[[nodiscard]] auto decodeAnnouncement(const std::string &value) -> std::optional<OrganisationNames>;

/** What is announced and what should be. Thread-safe. Times are monotonic. */
class QuotaAnnouncements
{
public:
    /** An organisation uses much, or does not any more. */
    auto add(const std::string &organisation) -> void;
    auto remove(const std::string &organisation) -> void;

    /** What is to be announced, as soon as it holds more than what is announced; none if that is not so within the time. Blocks. */
    [[nodiscard]] auto awaitAddition(absl::Duration time) -> std::optional<OrganisationNames>;

    /** The same, without waiting. */
    [[nodiscard]] auto addition() const -> std::optional<OrganisationNames>;

    /** What is to be announced now. */
    [[nodiscard]] auto wanted() const -> OrganisationNames;

    /** An announcement is known to hold. */
    auto announced(const OrganisationNames &organisations) -> void;

private:
    [[nodiscard]] auto hasAddition() const -> bool;

    mutable absl::Mutex mutex_;
    OrganisationNames wanted_ ABSL_GUARDED_BY(mutex_);
    OrganisationNames announced_ ABSL_GUARDED_BY(mutex_);
};

}
