/** A rule that sends requests to a pool. */
#pragma once

#include <absl/time/time.h>

#include <cstddef>
#include <string>

namespace lycheecleat
{

/** Who may use a route. */
enum class Access {
    Open,
    Keyed,
};

/** What a keyed route does while the host's knowledge is older than the freshness bound. */
enum class Isolation {
    /** Refuse keyed requests as not run. */
    Refuse,
    /** Serve them; a withdrawn key then works for as long as the host is cut off. */
    Serve,
};

/** A route as declared by a rule of kind `route`. The first route in file order that matches a request wins. */
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
    /** False when a request other than GET, HEAD and OPTIONS must run at most once. */
    bool repeatable_ = true;
    absl::Duration deadline_ = absl::Seconds(2);
    /** Largest request body in bytes. */
    std::size_t bodyLimit_ = 1 << 20;
    Isolation isolation_ = Isolation::Refuse;

    auto operator==(const Route &other) const -> bool = default;
};

}
