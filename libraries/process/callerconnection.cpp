#include "process/callerconnection.h"

#include "core/clock.h"

namespace lycheecleat
{

// The newest bytes arrived last, so they show at most the time for which the request has waited.
auto arrivalOf(CallerConnection &connection) -> RequestArrival
{
    if (!connection.arrival_) {
        connection.arrival_ = RequestArrival { monotonicNow(), timeSinceArrival(connection.connection_.socket()) };
    }
    return *connection.arrival_;
}

}
