/** Holder of the configuration that is active in this process. */
#pragma once

#include "version/configuration.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <memory>
#include <type_traits>
#include <utility>

namespace lycheecleat
{

/** Holds the active configuration. Its revision never decreases. Thread-safe. */
class CurrentConfiguration
{
public:
    /** The active configuration; an empty one of revision 0 until the first is activated. */
    [[nodiscard]] auto get() const -> ConfigurationPointer
    {
        const auto lock = absl::ReaderMutexLock(&mutex_);
        return configuration_;
    }

    /** Activates a configuration if its revision is higher than that of the active one. Returns whether it did. */
    auto advance(ConfigurationPointer next) -> bool
    {
        const auto lock = absl::MutexLock(&mutex_);
        if (next->revision_ <= configuration_->revision_) {
            return false;
        }
        configuration_ = std::move(next);
        return true;
    }

private:
    mutable absl::Mutex mutex_;
    ConfigurationPointer configuration_ ABSL_GUARDED_BY(mutex_) = std::make_shared<const Configuration>();
};

/** A configuration, and a value that was determined while this configuration was active. */
template<typename Value>
struct ConfigurationReading
{
    ConfigurationPointer configuration_;
    Value value_;
};

/**
 * Calls a function with the active configuration and returns both its result and that configuration. Repeats the call if another configuration was
 * activated meanwhile: the result, for example the age of the store state, may then belong to the newer one only.
 */
template<typename Read>
[[nodiscard]] auto readWithConfiguration(const CurrentConfiguration &current, Read read)
    -> ConfigurationReading<std::invoke_result_t<Read, const Configuration &>>
{
    auto configuration = current.get();
    while (true) {
        auto value = read(*configuration);
        auto after = current.get();
        if (after == configuration) {
            return { std::move(configuration), std::move(value) };
        }
        configuration = std::move(after);
    }
}

}
