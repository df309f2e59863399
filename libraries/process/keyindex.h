/** Index of the keys of a configuration by their digest. */
#pragma once

#include "version/configuration.h"

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <memory>
#include <string>

namespace lycheecleat
{

/** The keys of one configuration by digest. The pointers are valid as long as configuration_ is held. */
struct KeyIndex
{
    ConfigurationPointer configuration_;
    absl::flat_hash_map<std::string, const Key *> keys_;
};

/** Caches the index of the configuration that was requested last. Thread-safe. */
class KeyIndexCache
{
public:
    /** Returns the index of a configuration and builds it if it isn't cached. The index keeps the configuration alive. */
    [[nodiscard]] auto get(const ConfigurationPointer &configuration) -> std::shared_ptr<const KeyIndex>;

private:
    absl::Mutex mutex_;
    std::shared_ptr<const KeyIndex> index_ ABSL_GUARDED_BY(mutex_);
};

}
