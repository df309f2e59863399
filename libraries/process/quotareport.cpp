#include "process/quotareport.h"

namespace lycheecleat
{

auto quotaMetrics(const QuotaCounts &counts) -> std::vector<MetricValue>
{
    constexpr auto asked = "lycheecleat_quota_asked_total";
    constexpr auto askedHelp = "Requests of this host for which another holder of the quota was asked, by its answer";
    constexpr auto answered = "lycheecleat_quota_answered_total";
    constexpr auto answeredHelp = "Requests of other hosts that this host was asked to admit, by its answer";
    return {
        counterValue(asked, askedHelp, { { "outcome", "admitted" } }, counts.admittedByOthers_),
        counterValue(asked, askedHelp, { { "outcome", "refused" } }, counts.refusedByOthers_),
        counterValue(asked, askedHelp, { { "outcome", "unanswered" } }, counts.unanswered_),
        counterValue(answered, answeredHelp, { { "outcome", "admitted" } }, counts.admittedForOthers_),
        counterValue(answered, answeredHelp, { { "outcome", "refused" } }, counts.refusedToOthers_),
    };
}

}
