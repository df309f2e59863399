/** Claims idempotency keys without a run token in the store. */
#pragma once

#include "connection/storeclient.h"
#include "request/claimrecord.h"

#include <cstdint>
#include <optional>
#include <string>

namespace lycheecleat
{

/** What came of an attempt to claim a key. */
enum class ClaimStatus {
    /** The key is claimed for this request, which alone may now run. */
    Claimed,
    /** The request has run, and its answer is known. */
    Done,
    /** Another request has claimed the key, and its answer is not known. */
    ClaimedElsewhere,
    /** The key was used for a different request. */
    Mismatch,
    /** The store gives no certain answer; this request may not run. */
    Unavailable,
};

/** A key to claim. */
struct Claim
{
    /** Key in the store. */
    std::string storeKey_;
    /** Names the host, its run and the request. */
    std::string id_;
    std::string requestDigest_;
    /** Version of the claim in the store, once it is claimed. */
    std::int64_t version_ = 0;
};

/** The result of an attempt to claim a key. */
struct ClaimResult
{
    ClaimStatus status_ = ClaimStatus::Unavailable;
    HttpResponse answer_;
};

/** Claims a key by create-if-absent. After a lost reply the claim is read; a claim of another request is never taken over. */
[[nodiscard]] auto claimInStore(StoreClient &store, Claim &claim) -> ClaimResult;

/** What came of an earlier request with this key, without a claim of the key. None when there is no claim; Unavailable when the store gives no answer. */
[[nodiscard]] auto findInStore(StoreClient &store, Claim &claim) -> std::optional<ClaimResult>;

/** Gives a claim back whose request has certainly not run. Failures are ignored; the key then stays claimed until its time to live ends. */
auto releaseInStore(StoreClient &store, const Claim &claim) -> void;

/** Stores a small answer, so that a resend through any host gets it. Failures are ignored; resends are then answered as unknown. */
auto completeInStore(StoreClient &store, const Claim &claim, const HttpResponse &answer) -> void;

}
