#include "process/storeclaims.h"

#include <variant>

namespace lycheecleat
{

namespace
{

constexpr auto claimTimeToLive = absl::Hours(24);

/** Bytes of headers and body. Larger responses would fill the store, whose values are limited to a megabyte. */
constexpr auto maximumStoredResponseBytes = std::size_t { 16 } * 1024;

auto recordOf(const Claim &claim, ClaimState state) -> ClaimRecord
{
    return { state, claim.id_, claim.requestDigest_, {} };
}

auto writeClaim(StoreClient &store, const Claim &claim, std::int64_t version, const ClaimRecord &record) -> std::variant<SwapResult, Error>
{
    return attempt([&] {
        return store.compareAndSwap(claim.storeKey_, version, serializeClaim(record), claimTimeToLive);
    });
}

auto sizeOf(const HttpResponse &response) -> std::size_t
{
    auto size = response.body_.size();
    for (const auto &header : response.headers_) {
        size += header.name_.size() + header.value_.size();
    }
    return size;
}

// Compares a stored claim with the one to make. The same id means that an earlier write took effect although its reply was lost.
auto resultOfRecord(Claim &claim, const StoreEntry &entry, const ClaimRecord &record) -> ClaimResult
{
    if (record.id_ == claim.id_ && record.state_ == ClaimState::Claimed) {
        claim.version_ = entry.version_;
        return { ClaimStatus::Claimed, {} };
    }
    if (record.requestDigest_ != claim.requestDigest_) {
        return { ClaimStatus::Mismatch, {} };
    }
    if (record.state_ == ClaimState::Done) {
        return { ClaimStatus::Done, record.response_ };
    }
    return { ClaimStatus::ClaimedElsewhere, {} };
}

auto resultOfEntry(Claim &claim, const StoreEntry &entry) -> ClaimResult
{
    const auto record = parseClaim(entry.value_);
    return record ? resultOfRecord(claim, entry, *record) : ClaimResult { ClaimStatus::ClaimedElsewhere, {} };
}

auto readAfterLostReply(StoreClient &store, Claim &claim) -> ClaimResult
{
    const auto read = attempt([&] {
        return store.get(claim.storeKey_);
    });
    const auto *entry = std::get_if<StoreEntry>(&read);
    // When the key is absent, the write may still take effect, so the key may not be claimed again; nothing has run.
    if (entry == nullptr || entry->version_ == 0) {
        return { ClaimStatus::Unavailable, {} };
    }
    const auto record = parseClaim(entry->value_);
    // The write that should replace the released claim has failed, or may still take effect.
    if (record && record->state_ == ClaimState::Released) {
        return { ClaimStatus::Unavailable, {} };
    }
    return resultOfEntry(claim, *entry);
}

}

auto claimInStore(StoreClient &store, Claim &claim) -> ClaimResult
{
    const auto record = recordOf(claim, ClaimState::Claimed);
    const auto created = writeClaim(store, claim, 0, record);
    const auto *result = std::get_if<SwapResult>(&created);
    if (result == nullptr) {
        return readAfterLostReply(store, claim);
    }
    if (result->swapped_) {
        claim.version_ = result->entry_.version_;
        return { ClaimStatus::Claimed, {} };
    }
    const auto existing = parseClaim(result->entry_.value_);
    if (!existing || existing->state_ != ClaimState::Released) {
        return resultOfEntry(claim, result->entry_);
    }
    const auto replaced = writeClaim(store, claim, result->entry_.version_, record);
    const auto *secondResult = std::get_if<SwapResult>(&replaced);
    if (secondResult == nullptr) {
        return readAfterLostReply(store, claim);
    }
    if (secondResult->swapped_) {
        claim.version_ = secondResult->entry_.version_;
        return { ClaimStatus::Claimed, {} };
    }
    return resultOfEntry(claim, secondResult->entry_);
}

auto findInStore(StoreClient &store, Claim &claim) -> std::optional<ClaimResult>
{
    const auto read = attempt([&] {
        return store.get(claim.storeKey_);
    });
    const auto *entry = std::get_if<StoreEntry>(&read);
    if (entry == nullptr) {
        return ClaimResult { ClaimStatus::Unavailable, {} };
    }
    if (entry->version_ == 0) {
        return std::nullopt;
    }
    const auto record = parseClaim(entry->value_);
    if (record && record->state_ == ClaimState::Released) {
        return std::nullopt;
    }
    return resultOfEntry(claim, *entry);
}

auto releaseInStore(StoreClient &store, const Claim &claim) -> void
{
    static_cast<void>(writeClaim(store, claim, claim.version_, recordOf(claim, ClaimState::Released)));
}

auto completeInStore(StoreClient &store, const Claim &claim, const HttpResponse &response) -> void
{
    if (sizeOf(response) > maximumStoredResponseBytes) {
        return;
    }
    auto record = recordOf(claim, ClaimState::Done);
    record.response_ = response;
    static_cast<void>(writeClaim(store, claim, claim.version_, record));
}

}
