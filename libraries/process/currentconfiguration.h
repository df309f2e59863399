/** The configuration revision in force in this process. */
#pragma once

#include "version/configuration.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <memory>
#include <utility>

namespace lycheecleat
{

/** Holds the newest configuration and never goes back to a lower revision. Thread-safe. */
class CurrentConfiguration
{
public:
    /** The configuration in force; revision 0 before one is known. */
    [[nodiscard]] auto get() const -> ConfigurationPointer
    {
        const auto lock = absl::ReaderMutexLock(&mutex_);
        return configuration_;
    }

    /** Puts a configuration in force if its revision is higher than the present one; says whether it did. */
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

}
