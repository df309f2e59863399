#include "process/callerserverreport.h"

namespace lycheecleat
{

auto callerServerMetrics(const CallerServerCounts &counts, const ByteBudgetPointer &bodyMemory) -> std::vector<MetricValue>
{
    constexpr auto closed = "lycheecleat_connections_closed_total";
    constexpr auto closedHelp = "Connections of callers that were closed, by the reason";
    return {
        { "lycheecleat_body_bytes", "Memory taken up by message bodies", MetricKind::Gauge, {}, bodyMemory ? static_cast<double>(bodyMemory->used()) : 0 },
        counterValue("lycheecleat_bodies_without_room_total", "Requests refused since there was no memory for their bodies", {}, counts.bodiesWithoutRoom_),
        counterValue(closed, closedHelp, { { "reason", "stalled_body" } }, counts.stalledBodies_),
        counterValue(closed, closedHelp, { { "reason", "connection_limit" } }, counts.connectionsBeyondLimit_),
        counterValue(closed, closedHelp, { { "reason", "no_descriptor" } }, counts.connectionsWithoutDescriptor_),
    };
}

}
