/** A rule that sends requests to a pool. */
#pragma once

#include <absl/time/time.h>

#include <cstddef>
#include <string>

namespace lycheecleat
{

/** Whether a route requires a key. */
enum class Access {
    Open,
    Keyed,
};

/** How a host handles keyed requests of a route while its view of the store is older than the freshness bound. */
enum class Isolation {
    /** Refuse keyed requests with the guarantee that they weren't executed. */
    Refuse,
    /** Serve them; a withdrawn key is then accepted for as long as the host is partitioned from the store. */
    Serve,
};

/** A route as declared by a rule of kind `route`. The first matching route in file order applies. */
struct Route
{
    std::string name_;
    /** File that declares the route, for log lines and explanations. */
    std::string file_;
    /** Host header to match, without a port and in lower case; "*" matches any. */
    std::string host_;
    /** Matches whole path segments: "/tides" matches "/tides" and "/tides/today", not "/tidesx". */
    std::string pathPrefix_;
    std::string pool_;
    Access access_ = Access::Keyed;
    /** False if requests other than GET, HEAD and OPTIONS must be executed at most once. */
    bool repeatable_ = true;
    absl::Duration deadline_ = absl::Seconds(2);
    /** Largest request body in bytes. */
    std::size_t bodyLimit_ = 1 << 20;
    Isolation isolation_ = Isolation::Refuse;

    auto operator==(const Route &other) const -> bool = default;
};

}
