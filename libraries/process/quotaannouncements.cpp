#include "process/quotaannouncements.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace lycheecleat
{

auto encodeAnnouncement(const OrganisationNames &organisations) -> std::string
{
    return nlohmann::json(organisations).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

auto decodeAnnouncement(const std::string &value) -> std::optional<OrganisationNames>
{
    const auto json = nlohmann::json::parse(value, nullptr, false);
    if (!json.is_array()) {
        return std::nullopt;
    }
    auto organisations = OrganisationNames {};
    for (const auto &name : json) {
        if (!name.is_string()) {
            return std::nullopt;
        }
        organisations.insert(name.get<std::string>());
    }
    return organisations;
}

auto QuotaAnnouncements::add(const std::string &organisation) -> void
{
    const auto lock = absl::MutexLock(&mutex_);
    wanted_.insert(organisation);
}

auto QuotaAnnouncements::remove(const std::string &organisation) -> void
{
    const auto lock = absl::MutexLock(&mutex_);
    wanted_.erase(organisation);
    // The stored announcement names it until the next one is written, which is on the safe side.
}

auto QuotaAnnouncements::hasAddition() const -> bool
{
    mutex_.AssertReaderHeld();
    return !std::includes(announced_.begin(), announced_.end(), wanted_.begin(), wanted_.end());
}

auto QuotaAnnouncements::awaitAddition(absl::Duration time) -> std::optional<OrganisationNames>
{
    const auto lock = absl::MutexLock(&mutex_);
    const auto condition = absl::Condition(this, &QuotaAnnouncements::hasAddition);
    return mutex_.AwaitWithTimeout(condition, time) ? std::optional(wanted_) : std::nullopt;
}

auto QuotaAnnouncements::addition() const -> std::optional<OrganisationNames>
{
    const auto lock = absl::ReaderMutexLock(&mutex_);
    return hasAddition() ? std::optional(wanted_) : std::nullopt;
}

auto QuotaAnnouncements::wanted() const -> OrganisationNames
{
    const auto lock = absl::ReaderMutexLock(&mutex_);
    return wanted_;
}

auto QuotaAnnouncements::announced(const OrganisationNames &organisations) -> void
{
    const auto lock = absl::MutexLock(&mutex_);
    announced_ = organisations;
}

}
