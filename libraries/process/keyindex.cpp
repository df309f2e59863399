#include "process/keyindex.h"

namespace lycheecleat
{

namespace
{

auto makeIndex(const ConfigurationPointer &configuration) -> std::shared_ptr<const KeyIndex>
{
    auto index = std::make_shared<KeyIndex>();
    index->configuration_ = configuration;
    for (const auto &key : configuration->keys_) {
        auto &entry = index->keys_[key.digest_];
        // If several rules have the same digest, a withdrawn one wins, so that a copy of the key never undoes its withdrawal.
        if (entry == nullptr || !key.active_) {
            entry = &key;
        }
    }
    return index;
}

}

auto KeyIndexCache::get(const ConfigurationPointer &configuration) -> std::shared_ptr<const KeyIndex>
{
    {
        const auto lock = absl::ReaderMutexLock(&mutex_);
        if (index_ && index_->configuration_ == configuration) {
            return index_;
        }
    }
    auto index = makeIndex(configuration);
    const auto lock = absl::MutexLock(&mutex_);
    index_ = index;
    return index;
}

}
