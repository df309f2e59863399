#include "process/backendsignalreport.h"

#include "core/clock.h"
#include "core/log.h"

#include <fmt/format.h>

#include <utility>

namespace lycheecleat
{

namespace
{

constexpr auto markedEvent = "backend_marked";

auto identityFields(const std::string &requestId, const FleetBackend &backend) -> std::vector<LogField>
{
    const auto &registration = backend.registration_;
    return { { "request", requestId }, { "backend", registration.server_.name_ }, { "incarnation", fmt::format("{}", registration.incarnation_) } };
}

auto limitText(const std::optional<double> &requestsPerSecond) -> std::string
{
    return requestsPerSecond ? fmt::format("{}", *requestsPerSecond) : "none";
}

auto logLimit(std::vector<LogField> fields, const LimitChange &change) -> void
{
    fields.push_back({ "limit", limitText(change.after_) });
    fields.push_back({ "limit_before", limitText(change.before_) });
    logLine(wallNow(), LogLevel::Warning, "backend_limit", fields);
}

}

auto logSignals(absl::Time now, const std::string &requestId, const FleetBackend &backend, const BackendSignals &signals, const MarkChange &change) -> void
{
    for (const auto &problem : signals.problems_) {
        auto fields = identityFields(requestId, backend);
        fields.push_back({ "header", problem.header_ });
        fields.push_back({ "value", problem.value_ });
        fields.push_back({ "reason", std::string(signalProblemReasonName(problem.reason_)) });
        // Below warning level, since a faulty server may send such a header with each response and only these lines are limited in rate.
        logLine(wallNow(), LogLevel::Info, "backend_signal_ignored", fields);
    }
    if (change.beganLeaving_) {
        auto fields = identityFields(requestId, backend);
        fields.push_back({ "signal", std::string(restrictionName(BackendRestriction::Leaving)) });
        fields.push_back({ "until", "the end of the incarnation" });
        logLine(wallNow(), LogLevel::Warning, markedEvent, fields);
    }
    if (change.limit_) {
        logLimit(identityFields(requestId, backend), *change.limit_);
    }
    if (change.pausedUntil_) {
        auto fields = identityFields(requestId, backend);
        fields.push_back({ "signal", std::string(restrictionName(BackendRestriction::Paused)) });
        fields.push_back({ "pause_s", fmt::format("{}", absl::ToInt64Seconds(signals.pause_.value_or(absl::ZeroDuration()))) });
        fields.push_back({ "until", absl::FormatTime(absl::RFC3339_full, wallNow() + (*change.pausedUntil_ - now), absl::UTCTimeZone()) });
        logLine(wallNow(), LogLevel::Warning, markedEvent, fields);
    }
}

auto logPeerLimit(const std::string &peer, const KnownLimit &known, const LimitChange &change) -> void
{
    logLimit({ { "peer", peer }, { "backend", known.backend_ }, { "incarnation", fmt::format("{}", known.incarnation_) } }, change);
}

auto logEndedMark(const EndedMark &mark) -> void
{
    logLine(wallNow(),
            LogLevel::Info,
            "backend_mark_ended",
            { { "backend", mark.backend_ },
              { "incarnation", fmt::format("{}", mark.incarnation_) },
              { "signal", std::string(restrictionName(mark.restriction_)) },
              { "reason", mark.restriction_ == BackendRestriction::Leaving ? "the incarnation is no longer registered" : "the pause has ended" } });
}

auto signalMetrics(const SignalCounts &counts) -> std::vector<MetricValue>
{
    constexpr auto marks = "lycheecleat_backend_marks_total";
    constexpr auto marksHelp = "Backend servers that announced that they leave, asked for a pause or named a limit";
    constexpr auto kept = "lycheecleat_requests_kept_away_total";
    constexpr auto keptHelp = "Choices that passed over a backend server because of its signal";
    constexpr auto permits = "lycheecleat_permits_total";
    constexpr auto permitsHelp = "Permits that this host asked for, to send requests to backend servers with a limit";
    return {
        counterValue(marks, marksHelp, { { "signal", "leaving" } }, counts.leavingMarks_),
        counterValue(marks, marksHelp, { { "signal", "paused" } }, counts.pauseMarks_),
        counterValue(marks, marksHelp, { { "signal", "limited" } }, counts.limits_),
        counterValue("lycheecleat_backend_signals_ignored_total", "Headers of backend servers that were not used as received", {}, counts.ignoredHeaders_),
        counterValue(kept, keptHelp, { { "signal", "leaving" } }, counts.keptFromLeaving_),
        counterValue(kept, keptHelp, { { "signal", "paused" } }, counts.keptFromPaused_),
        counterValue(kept, keptHelp, { { "signal", "limited" } }, counts.keptFromLimited_),
        counterValue(permits, permitsHelp, { { "outcome", "granted" } }, counts.permitsGranted_),
        counterValue(permits, permitsHelp, { { "outcome", "refused" } }, counts.permitsRefused_),
        counterValue(permits, permitsHelp, { { "outcome", "unanswered" } }, counts.permitsUnanswered_),
        counterValue("lycheecleat_permits_issued_total", "Permits that this host has issued to hosts, itself included", {}, counts.permitsIssued_),
        counterValue(
            "lycheecleat_requests_cancelled_total", "Requests not sent because their backend server was marked after the choice", {}, counts.cancelled_),
        counterValue("lycheecleat_requests_despite_mark_total", "Requests sent to a backend server that was already marked", {}, counts.sentDespiteMark_),
    };
}

}
