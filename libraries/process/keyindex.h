/** Finds a key by its digest. */
#pragma once

#include "version/configuration.h"

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <memory>
#include <string>

namespace lycheecleat
{

/** The keys of one configuration by digest. */
struct KeyIndex
{
    ConfigurationPointer configuration_;
    absl::flat_hash_map<std::string, const Key *> keys_;
};

/** Keeps the index of the configuration that was asked for last. Thread-safe. */
class KeyIndexCache
{
public:
    /** The index of a configuration; it keeps the configuration alive. */
    [[nodiscard]] auto get(const ConfigurationPointer &configuration) -> std::shared_ptr<const KeyIndex>;

private:
    absl::Mutex mutex_;
    std::shared_ptr<const KeyIndex> index_ ABSL_GUARDED_BY(mutex_);
};

}
