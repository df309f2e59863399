#include "process/keychecker.h"

namespace lycheecleat
{

KeyChecker::KeyChecker(const CurrentConfiguration *configuration, const FreshnessTracker *freshness)
    : configuration_(configuration)
    , freshness_(freshness)
{
}

auto KeyChecker::check(absl::Time now, const std::string &digest, Isolation isolation) -> KeyCheck
{
    // A pending withdrawal is removed once the active configuration contains it, so it is read together with that configuration too.
    const auto reading = readWithConfiguration(*configuration_, [&](const Configuration &configuration) {
        return KeyState { freshness_->stateAt(now, configuration), freshness_->isWithdrawn(digest) };
    });
    auto result = KeyCheck { std::nullopt, reading.value_.freshness_, {}, {} };
    if (result.freshness_ == FreshnessState::Isolated && isolation == Isolation::Refuse) {
        result.refusal_ = Refusal::KnowledgeStale;
        return result;
    }
    const auto index = keys_.get(reading.configuration_);
    const auto found = index->keys_.find(digest);
    if (found == index->keys_.end()) {
        result.refusal_ = Refusal::KeyUnknown;
        return result;
    }
    const auto &key = *found->second;
    result.name_ = key.name_;
    result.organisation_ = key.organisation_;
    if (!key.active_ || reading.value_.isWithdrawn_) {
        result.refusal_ = Refusal::KeyWithdrawn;
    }
    return result;
}

}
