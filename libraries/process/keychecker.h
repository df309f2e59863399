/** Decides whether a caller's key may be used at a time. */
#pragma once

#include "process/currentconfiguration.h"
#include "process/freshnesstracker.h"
#include "process/keyindex.h"
#include "request/refusal.h"
#include "version/configuration.h"

#include <absl/time/time.h>

#include <optional>
#include <string>

namespace lycheecleat
{

/** Result of the check of a key. */
struct KeyCheck
{
    /** None when the key may be used. */
    std::optional<Refusal> refusal_;
    FreshnessState freshness_ = FreshnessState::Fresh;
    /** Name and organisation of the key; empty if they were not looked up or the key is unknown. */
    std::string name_;
    std::string organisation_;

    auto operator==(const KeyCheck &) const -> bool = default;
};

/** Checks keys against the active configuration, its age and pending withdrawals. Thread-safe. */
class KeyChecker
{
public:
    /** Both must outlive the checker. */
    KeyChecker(const CurrentConfiguration *configuration, const FreshnessTracker *freshness);

    /**
     * Checks the key with a digest for a route with the given behaviour under isolation. The key is looked up in the configuration for which the freshness
     * was determined, and not in that of the request: a host that was suspended may receive a newer configuration between the two.
     */
    [[nodiscard]] auto check(absl::Time now, const std::string &digest, Isolation isolation) -> KeyCheck;

private:
    /** What is known of a key besides its rule. */
    struct KeyState
    {
        FreshnessState freshness_;
        bool isWithdrawn_;
    };

    const CurrentConfiguration *configuration_;
    const FreshnessTracker *freshness_;
    KeyIndexCache keys_;
};

}
