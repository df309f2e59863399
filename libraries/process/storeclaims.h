/** Claims in the store of idempotency keys that have no run token. */
#pragma once

#include "connection/storeclient.h"
#include "request/claimrecord.h"

#include <cstdint>
#include <optional>
#include <string>

namespace lycheecleat
{

/** State of a key after an attempt to claim it. */
enum class ClaimStatus {
    /** The key is claimed for this request, and no other request with the key may run. */
    Claimed,
    /** The request has run, and its response is stored. */
    Done,
    /** Another request has claimed the key, and no response is stored. */
    ClaimedElsewhere,
    /** The key was used for a different request. */
    Mismatch,
    /** Whether the key is claimed could not be determined; this request may not run. */
    Unavailable,
};

/** A key to claim. */
struct Claim
{
    /** Key in the store. */
    std::string storeKey_;
    /** Identifies the host, its run and the request. */
    std::string id_;
    std::string requestDigest_;
    /** Version of the claim in the store, once it is claimed. */
    std::int64_t version_ = 0;
};

/** State of a key, with the stored response when it is Done. */
struct ClaimResult
{
    ClaimStatus status_ = ClaimStatus::Unavailable;
    HttpResponse response_;
};

/**
 * Claims a key: creates the claim if it is absent, or replaces a released one, by compare-and-swap. Reads the claim after a lost reply. Never takes over a
 * claim that another request holds.
 */
[[nodiscard]] auto claimInStore(StoreClient &store, Claim &claim) -> ClaimResult;

/** Reads the state of a key without claiming it. None when there is no claim or it was released; Unavailable when the store does not respond. */
[[nodiscard]] auto findInStore(StoreClient &store, Claim &claim) -> std::optional<ClaimResult>;

/** Releases a claim whose request has certainly not run. Errors are ignored; the key then stays claimed until its time to live ends. */
auto releaseInStore(StoreClient &store, const Claim &claim) -> void;

/**
 * Stores the response of a claimed request, so that a resend through any host gets it. Too large responses are not stored, and errors are ignored;
 * resends then have an unknown outcome.
 */
auto completeInStore(StoreClient &store, const Claim &claim, const HttpResponse &response) -> void;

}
