/** Responds to callers' lookups over HTTP. */
#pragma once

#include "process/membership.h"
#include "request/lookup.h"
#include "request/runtoken.h"

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>
#include <httplib.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace lycheecleat
{

/** How long a run token stays valid beyond the lifetime of the response that carries it, so that an operation can be retried under it. */
inline constexpr auto runTokenLifetime = absl::Minutes(10);

/** Dependencies of the handler; they must outlive it. */
struct LookupServices
{
    std::string hostName_;
    std::string run_;
    std::string zone_;
    /** Fleet secret for run tokens. */
    std::string secret_;
    /** How long callers may cache a response. */
    absl::Duration lifetime_;
    Membership *membership_ = nullptr;
    /** Whether this host is leaving. */
    std::function<bool()> leaving_;
};

/** Responds to GET with the parameters client and organisation, both optional. Thread-safe. */
class LookupHandler
{
public:
    explicit LookupHandler(LookupServices services);

    /** Applies a configuration. Lookups before the first one are refused. */
    auto configure(const ConfigurationPointer &configuration) -> void;

    /** Responds to one lookup. */
    auto handle(const httplib::Request &request, httplib::Response &response) -> void;

    /** Number of lookups whose response listed hosts. */
    [[nodiscard]] auto successfulLookups() const -> std::int64_t;

private:
    /** Data of one configuration from which responses are made. */
    struct ResponseTable
    {
        LookupTable lookup_;
        /** The JSON object of each host, by name. */
        absl::flat_hash_map<std::string, std::string> hostJson_;
    };

    /** A run token and its text, which is cached because its MAC takes longer than the rest of a response. */
    struct FormattedToken
    {
        RunToken token_;
        std::string text_;
    };

    auto currentTable() const -> std::shared_ptr<const ResponseTable>;
    auto availableHosts(absl::Time now) -> std::shared_ptr<const AvailableHosts>;
    auto regionOf(const LookupTable &table, const httplib::Request &request) const -> Result<std::string>;
    auto writeResponse(const ResponseTable &table, const LookupDecision &decision, httplib::Response &response) -> void;
    auto tokenText(const RunToken &token) -> std::string;

    LookupServices services_;
    mutable absl::Mutex mutex_;
    std::shared_ptr<const ResponseTable> table_ ABSL_GUARDED_BY(mutex_);
    std::shared_ptr<const AvailableHosts> available_ ABSL_GUARDED_BY(mutex_);
    absl::Time availableAt_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
    bool availableLeaving_ ABSL_GUARDED_BY(mutex_) = false;
    /** The newest token of each host. Expiry times are whole seconds, so the tokens made within one second are equal. */
    absl::flat_hash_map<std::string, FormattedToken> tokens_ ABSL_GUARDED_BY(mutex_);
    std::atomic<std::int64_t> successfulLookups_ = 0;
    std::atomic<std::uint64_t> seed_;
};

}
