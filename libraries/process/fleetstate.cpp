#include "process/fleetstate.h"

#include "core/clock.h"
#include "core/digest.h"
#include "core/log.h"
#include "request/regionflow.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>
#include <variant>

namespace lycheecleat
{

namespace
{

/** How long a backend server stays in use after its registration lapsed in a store outage; a server that is alive registers again within this time. */
constexpr auto reregistrationGrace = absl::Seconds(2);

/** How long a zone stays evacuated after its evacuation was lost in a restoration of the store; the operator writes it again within this time. */
constexpr auto evacuationGrace = absl::Seconds(10);

/**
 * How long registrations of a restored store are compared with those known before. A server that is alive writes a newer one within this time, and the
 * registration of one that has left expires.
 */
constexpr auto outdatedRegistrationHold = absl::Seconds(10);

/** How long the registration of a server that has left is remembered; longer than the age of any copy that the store is restored from. */
constexpr auto departureRetention = absl::Minutes(2);

/** Longest interval between two responses of the store in continuous contact. Leases are renewed every 2 s, and no registration lapses in a shorter outage. */
constexpr auto maximumContactGap = absl::Seconds(3);

/** How long contact must have been continuous to rule out that the store had only just recovered when another host received a removal. */
constexpr auto minimumContactTime = absl::Seconds(4);

/** Fraction of the objects kept in their own region where possible; the others are spread over all regions, which evens out uneven demand. */
constexpr auto localFraction = 0.75;

auto logChange(LogLevel level, const char *event, const FleetRecord &record, const std::string &source, std::vector<LogField> more) -> void
{
    auto fields = std::vector<LogField> { { "name", record.name_ }, { "revision", fmt::format("{}", record.revision_) }, { "source", source } };
    for (auto &field : more) {
        fields.push_back(std::move(field));
    }
    logLine(wallNow(), level, event, fields);
}

// The numbers of routes and keys show whether a version allows less than the one before.
auto describePolicy(const TrafficPolicy &policy) -> std::vector<LogField>
{
    auto keyCount = std::size_t { 0 };
    for (const auto &organisation : policy.organisations_) {
        keyCount += organisation.keys_.size();
    }
    return { { "version", fmt::format("{}", policy.version_) },
             { "routes", fmt::format("{}", policy.routes_.size()) },
             { "organisations", fmt::format("{}", policy.organisations_.size()) },
             { "keys", fmt::format("{}", keyCount) } };
}

auto logBatch(const RecordBatch &batch, const std::string &source, const StorePosition &asOfBefore, std::size_t changeCount) -> void
{
    const auto removals = std::count_if(batch.records_.begin(), batch.records_.end(), [](const FleetRecord &record) {
        return record.isRemoved_;
    });
    logLine(wallNow(),
            LogLevel::Info,
            "records_applied",
            { { "source", source },
              { "full", batch.isSnapshot_ ? "true" : "false" },
              { "known_as_of", fmt::format("{}", asOfBefore.revision_) },
              { "as_of", fmt::format("{}", batch.asOf_) },
              { "era", fmt::format("{}", batch.era_) },
              { "records", fmt::format("{}", batch.records_.size()) },
              { "removals", fmt::format("{}", removals) },
              { "taken", fmt::format("{}", changeCount) } });
}

// Assumes the same demand in every zone, so that the weights do not depend on which gossip this host has received.
auto setWeights(std::vector<FleetBackend> &backends,
                const ZoneRegions &zones,
                const std::string &ownRegion,
                const absl::flat_hash_set<std::string> &evacuatedZones) -> void
{
    auto demands = RegionAmounts {};
    for (const auto &[zone, region] : zones) {
        demands[region] += 1;
    }
    auto capacities = RegionAmounts {};
    for (const auto &backend : backends) {
        if (!evacuatedZones.contains(backend.registration_.server_.zone_)) {
            capacities[backend.region_] += backend.registration_.slots_;
        }
    }
    auto flow = regionFlow(demands, capacities, ownRegion);
    auto total = 0.0;
    for (const auto &[region, capacity] : capacities) {
        total += capacity;
    }
    for (auto &backend : backends) {
        const auto capacity = capacities[backend.region_];
        const auto localWeight = capacity > 0 ? flow[backend.region_] / capacity : 0;
        const auto evenWeight = total > 0 ? 1 / total : 0;
        backend.weight_ = backend.registration_.slots_ * (localFraction * localWeight + (1 - localFraction) * evenWeight);
    }
}

auto containsRecord(const RecordBatch &batch, RecordKind kind, const std::string &name) -> bool
{
    return std::any_of(batch.records_.begin(), batch.records_.end(), [&](const FleetRecord &record) {
        return record.kind_ == kind && record.name_ == name && !record.isRemoved_;
    });
}

auto logLimitChanges(const PolicyPointer &previous, const PolicyIndex &next) -> void
{
    for (const auto &organisation : next.policy().organisations_) {
        const auto &limits = organisation.limits_;
        const auto isUnchanged =
            previous && std::any_of(previous->policy().organisations_.begin(), previous->policy().organisations_.end(), [&](const PolicyOrganisation &earlier) {
                return earlier.limits_ == limits;
            });
        if (!isUnchanged) {
            logLine(wallNow(),
                    LogLevel::Info,
                    "organisation_limit",
                    { { "organisation", limits.name_ },
                      { "rate", fmt::format("{}", limits.rate_) },
                      { "burst", fmt::format("{}", limits.burst_) },
                      { "version", fmt::format("{}", next.policy().version_) } });
        }
    }
}

}

FleetState::FleetState(ZoneRegions zones, const std::string &ownZone, RecordDecoders decoders)
    : zones_(std::move(zones))
    , ownRegion_(zones_.count(ownZone) == 0 ? std::string {} : zones_.at(ownZone))
    , decoders_(std::move(decoders))
    , view_(std::make_shared<FleetView>())
{
}

auto FleetState::applyFromStore(absl::Time now, const RecordBatch &batch) -> void
{
    const auto lock = absl::MutexLock(&mutex_);
    const auto mayHaveLapsed = hasStoreCallFailed_ || now - storeRecoveredAt_ < reregistrationGrace;
    auto marked = batch;
    marked.hasLapses_ = mayHaveLapsed;
    for (auto &record : marked.records_) {
        record.isLapsed_ = record.isRemoved_ && mayHaveLapsed;
    }
    apply(now, marked, "store");
}

auto FleetState::applyFromPeer(absl::Time now, const RecordBatch &batch, const std::string &peerAddress) -> void
{
    const auto lock = absl::MutexLock(&mutex_);
    auto marked = batch;
    if (!startsEra(batch) && hasContinuousContact(now)) {
        for (auto &record : marked.records_) {
            record.isLapsed_ = false;
        }
    }
    apply(now, marked, "peer " + peerAddress);
}

auto FleetState::hasContinuousContact(absl::Time now) const -> bool
{
    mutex_.AssertReaderHeld();
    return !hasStoreCallFailed_ && now - lastStoreResponseAt_ <= maximumContactGap && now - continuousContactSince_ >= minimumContactTime;
}

auto FleetState::startsEra(const RecordBatch &batch) const -> bool
{
    mutex_.AssertReaderHeld();
    return batch.isSnapshot_ && batch.era_ > replica_.position().era_ && replica_.position().revision_ > 0;
}

// The store was away before it came back from a copy, so that registrations that are missing may have lapsed.
auto FleetState::beginEra(absl::Time now, const RecordBatch &batch, const std::string &source) -> void
{
    mutex_.AssertHeld();
    const auto before = replica_.position();
    logLine(wallNow(),
            LogLevel::Warning,
            "store_era_begun",
            { { "source", source },
              { "from_era", fmt::format("{}", before.era_) },
              { "from_revision", fmt::format("{}", before.revision_) },
              { "era", fmt::format("{}", batch.era_) },
              { "revision", fmt::format("{}", batch.asOf_) } });
    storeRecoveredAt_ = now;
    continuousContactSince_ = now;
    holdMissingEvacuations(now, batch, source);
    rememberRegistrations(now);
}

auto FleetState::rememberRegistrations(absl::Time now) -> void
{
    mutex_.AssertHeld();
    comparedUntil_ = now + outdatedRegistrationHold;
    for (const auto &[name, departure] : departures_) {
        earlierRegistrations_[name] = { departure.version_, true };
    }
    for (const auto &[name, decoded] : backends_) {
        const auto hasLeft = decoded.backend_.registration_.isDraining_ || decoded.backend_.usableUntil_ <= now;
        earlierRegistrations_[name] = { versionOf(decoded.backend_.registration_), hasLeft };
    }
}

auto FleetState::isOutdated(const FleetBackend &backend) const -> bool
{
    mutex_.AssertReaderHeld();
    const auto found = earlierRegistrations_.find(backend.registration_.server_.name_);
    if (found == earlierRegistrations_.end()) {
        return false;
    }
    const auto &[version, hasLeft] = found->second;
    return versionOf(backend.registration_) < version || (hasLeft && versionOf(backend.registration_) == version);
}

auto FleetState::applyOutdatedRegistrations(absl::Time now) -> bool
{
    mutex_.AssertHeld();
    std::erase_if(departures_, [&](const auto &item) {
        return now - item.second.at_ > departureRetention;
    });
    if (now < comparedUntil_ || earlierRegistrations_.empty()) {
        return false;
    }
    earlierRegistrations_.clear();
    for (const auto &name : std::exchange(outdatedRegistrations_, {})) {
        if (const auto *record = replica_.findPresent(RecordKind::Backend, name)) {
            applyBackend(now, *record, "restored store");
        }
    }
    return true;
}

auto FleetState::holdMissingEvacuations(absl::Time now, const RecordBatch &batch, const std::string &source) -> void
{
    mutex_.AssertHeld();
    // After two restorations in quick succession, the operator may not have written the evacuations of the first again.
    for (auto &[zone, until] : heldEvacuations_) {
        until = now + evacuationGrace;
    }
    for (const auto *evacuation : replica_.presentRecords(RecordKind::Evacuation)) {
        if (!containsRecord(batch, RecordKind::Evacuation, evacuation->name_)) {
            heldEvacuations_[evacuation->name_] = now + evacuationGrace;
            logChange(LogLevel::Warning,
                      "evacuation_kept",
                      *evacuation,
                      source,
                      { { "reason", "missing in the restored store" }, { "for_ms", fmt::format("{}", absl::ToInt64Milliseconds(evacuationGrace)) } });
        }
    }
}

auto FleetState::withPolicyInForce(const RecordBatch &batch) const -> RecordBatch
{
    mutex_.AssertReaderHeld();
    auto carried = batch;
    if (!policy_) {
        return carried;
    }
    const auto found = std::find_if(carried.records_.begin(), carried.records_.end(), [](const FleetRecord &record) {
        return record.kind_ == RecordKind::Policy && !record.isRemoved_;
    });
    if (found == carried.records_.end()) {
        auto kept = policyRecord_;
        kept.revision_ = batch.asOf_;
        carried.records_.push_back(std::move(kept));
        return carried;
    }
    const auto decoded = attempt([&] {
        return decoders_.policy_(found->value_);
    });
    const auto *policy = std::get_if<TrafficPolicy>(&decoded);
    if (policy == nullptr || policy->version_ < policy_->policy().version_) {
        found->value_ = policyRecord_.value_;
    }
    return carried;
}

auto FleetState::endExpiredHolds(absl::Time now) -> bool
{
    mutex_.AssertHeld();
    const auto hasEndedEvacuations = endExpiredEvacuations(now);
    return applyOutdatedRegistrations(now) || hasEndedEvacuations;
}

auto FleetState::endExpiredEvacuations(absl::Time now) -> bool
{
    mutex_.AssertHeld();
    auto ended = std::vector<std::string> {};
    for (const auto &[zone, until] : heldEvacuations_) {
        if (now >= until) {
            ended.push_back(zone);
        }
    }
    for (const auto &zone : ended) {
        heldEvacuations_.erase(zone);
        logLine(wallNow(), LogLevel::Info, "evacuation_ended", { { "name", zone }, { "reason", "not written again after the store was restored" } });
        markZoneCold(now, zone);
    }
    return !ended.empty();
}

auto FleetState::apply(absl::Time now, const RecordBatch &batch, const std::string &source) -> void
{
    mutex_.AssertHeld();
    const auto asOfBefore = replica_.position();
    if (batch.era_ < asOfBefore.era_) {
        logLine(wallNow(),
                LogLevel::Info,
                "records_ignored",
                { { "source", source },
                  { "reason", "of an earlier era of the store" },
                  { "era", fmt::format("{}", batch.era_) },
                  { "known_era", fmt::format("{}", asOfBefore.era_) } });
        return;
    }
    const auto isFirstOfEra = startsEra(batch);
    if (isFirstOfEra) {
        beginEra(now, batch, source);
    }
    auto changes = replica_.apply(now, isFirstOfEra ? withPolicyInForce(batch) : batch);
    std::erase_if(changes, [&](const FleetRecord &record) {
        return isFirstOfEra && record.kind_ == RecordKind::Evacuation && record.isRemoved_ && heldEvacuations_.count(record.name_) > 0;
    });
    for (const auto &record : changes) {
        applyRecord(now, record, source);
    }
    const auto hasEndedHolds = endExpiredHolds(now);
    if (!batch.records_.empty() || batch.isSnapshot_) {
        logBatch(batch, source, asOfBefore, changes.size());
    }
    if (!changes.empty() || hasEndedHolds || replica_.position() != asOfBefore) {
        rebuildView();
    }
}

auto FleetState::applyRecord(absl::Time now, const FleetRecord &record, const std::string &source) -> void
{
    mutex_.AssertHeld();
    switch (record.kind_) {
    case RecordKind::Policy:
        applyPolicy(record, source);
        return;
    case RecordKind::Evacuation:
        applyEvacuation(now, record, source);
        return;
    case RecordKind::Backend:
        applyBackend(now, record, source);
        return;
    case RecordKind::Host:
        logChange(LogLevel::Info, record.isRemoved_ ? "host_registration_ended" : "host_registered", record, source, {});
        return;
    }
}

auto FleetState::applyPolicy(const FleetRecord &record, const std::string &source) -> void
{
    mutex_.AssertHeld();
    if (record.isRemoved_) {
        logChange(LogLevel::Warning, "policy_kept", record, source, { { "reason", "the record was removed" } });
        return;
    }
    auto decoded = attempt([&] {
        return decoders_.policy_(record.value_);
    });
    if (const auto *error = std::get_if<Error>(&decoded)) {
        logChange(LogLevel::Error, "policy_kept", record, source, { { "reason", describe(*error) } });
        return;
    }
    auto &policy = std::get<TrafficPolicy>(decoded);
    const auto version = policy.version_;
    if (policy_ && version <= policy_->policy().version_) {
        logChange(LogLevel::Warning,
                  "policy_kept",
                  record,
                  source,
                  { { "reason", "not newer than the version in force" }, { "version", fmt::format("{}", version) } });
        return;
    }
    const auto previous = std::exchange(policy_, std::make_shared<PolicyIndex>(std::move(policy)));
    policyRecord_ = record;
    logLimitChanges(previous, *policy_);
    logChange(LogLevel::Info, "policy_in_force", record, source, describePolicy(policy_->policy()));
}

auto FleetState::applyEvacuation(absl::Time now, const FleetRecord &record, const std::string &source) -> void
{
    mutex_.AssertHeld();
    heldEvacuations_.erase(record.name_);
    logChange(LogLevel::Info, record.isRemoved_ ? "evacuation_ended" : "evacuation_begun", record, source, {});
    if (record.isRemoved_) {
        markZoneCold(now, record.name_);
    }
}

// Backend servers without requests for a while may have lost their caches before their registrations report it.
auto FleetState::markZoneCold(absl::Time now, const std::string &zone) -> void
{
    mutex_.AssertHeld();
    if (!policy_) {
        return;
    }
    for (auto &[name, decoded] : backends_) {
        const auto *service = policy_->findService(decoded.backend_.registration_.service_);
        if (decoded.backend_.registration_.server_.zone_ == zone && service != nullptr) {
            decoded.backend_.coldUntil_ = std::max(decoded.backend_.coldUntil_, now + service->coldStart_);
        }
    }
}

auto FleetState::applyBackend(absl::Time now, const FleetRecord &record, const std::string &source) -> void
{
    mutex_.AssertHeld();
    if (record.isRemoved_) {
        removeBackend(now, record, source);
        return;
    }
    auto decoded = attempt([&] {
        return decoders_.backend_(record.name_, record.value_);
    });
    if (const auto *error = std::get_if<Error>(&decoded)) {
        logChange(LogLevel::Warning, "backend_ignored", record, source, { { "reason", describe(*error) } });
        backends_.erase(record.name_);
        return;
    }
    auto backend = FleetBackend { std::get<DiscoveredBackend>(std::move(decoded)), "", stableHash(record.name_), absl::InfinitePast() };
    const auto region = zones_.find(backend.registration_.server_.zone_);
    if (region == zones_.end()) {
        logChange(LogLevel::Warning, "backend_ignored", record, source, { { "reason", "its zone is unknown" } });
        backends_.erase(record.name_);
        return;
    }
    if (isOutdated(backend)) {
        outdatedRegistrations_.insert(record.name_);
        logChange(LogLevel::Warning,
                  "backend_outdated",
                  record,
                  source,
                  { { "reason", "not newer than what was known before the store was restored" },
                    { "incarnation", fmt::format("{}", backend.registration_.incarnation_) },
                    { "sequence", fmt::format("{}", backend.registration_.sequence_) } });
        return;
    }
    earlierRegistrations_.erase(record.name_);
    outdatedRegistrations_.erase(record.name_);
    departures_.erase(record.name_);
    backend.region_ = region->second;
    if (backend.registration_.remainingColdTime_ > absl::ZeroDuration()) {
        backend.coldUntil_ = now + backend.registration_.remainingColdTime_;
    }
    const auto &registration = backend.registration_;
    logChange(LogLevel::Info,
              "backend_registered",
              record,
              source,
              { { "service", registration.service_ },
                { "zone", registration.server_.zone_ },
                { "address", registration.server_.address_ },
                { "draining", registration.isDraining_ ? "true" : "false" },
                { "cold_ms", fmt::format("{}", absl::ToInt64Milliseconds(registration.remainingColdTime_)) },
                { "incarnation", fmt::format("{}", registration.incarnation_) },
                { "sequence", fmt::format("{}", registration.sequence_) } });
    backends_[record.name_] = { std::move(backend), record.revision_ };
}

auto FleetState::removeBackend(absl::Time now, const FleetRecord &record, const std::string &source) -> void
{
    mutex_.AssertHeld();
    const auto found = backends_.find(record.name_);
    if (found == backends_.end()) {
        return;
    }
    const auto isLapse = record.isLapsed_ && !found->second.backend_.registration_.isDraining_;
    logChange(LogLevel::Info, "backend_removed", record, source, { { "kept_for_reregistration", isLapse ? "true" : "false" } });
    if (isLapse) {
        found->second.backend_.usableUntil_ = now + reregistrationGrace;
        return;
    }
    departures_[record.name_] = { versionOf(found->second.backend_.registration_), now };
    backends_.erase(found);
}

auto FleetState::rebuildView() -> void
{
    mutex_.AssertHeld();
    auto view = std::make_shared<FleetView>();
    view->asOf_ = replica_.position();
    view->policy_ = policy_;
    for (const auto &[name, decoded] : backends_) {
        if (!decoded.backend_.registration_.isDraining_) {
            view->backends_[decoded.backend_.registration_.service_].push_back(decoded.backend_);
        }
    }
    for (const auto *record : replica_.presentRecords(RecordKind::Evacuation)) {
        view->evacuatedZones_.insert(record->name_);
    }
    for (const auto &[zone, until] : heldEvacuations_) {
        view->evacuatedZones_.insert(zone);
    }
    for (auto &[service, backends] : view->backends_) {
        setWeights(backends, zones_, ownRegion_, view->evacuatedZones_);
    }
    view_ = std::move(view);
}

auto FleetState::view() const -> FleetViewPointer
{
    const auto lock = absl::ReaderMutexLock(&mutex_);
    return view_;
}

auto FleetState::changesAfter(const StorePosition &position) const -> RecordBatch
{
    const auto lock = absl::ReaderMutexLock(&mutex_);
    return replica_.changesAfter(position);
}

auto FleetState::asOf() const -> StorePosition
{
    const auto lock = absl::ReaderMutexLock(&mutex_);
    return replica_.position();
}

auto FleetState::hostRegistrations() const -> std::map<std::string, std::string>
{
    const auto lock = absl::ReaderMutexLock(&mutex_);
    auto records = std::map<std::string, std::string> {};
    for (const auto *record : replica_.presentRecords(RecordKind::Host)) {
        records[record->name_] = record->value_;
    }
    return records;
}

auto FleetState::updateStoreContact(absl::Time now, bool isReachable) -> void
{
    const auto lock = absl::MutexLock(&mutex_);
    if (endExpiredHolds(now)) {
        rebuildView();
    }
    // Without a failed call, the first response after a start does not show that there was an outage.
    if (isReachable && hasStoreCallFailed_) {
        storeRecoveredAt_ = now;
    }
    if (isReachable && (hasStoreCallFailed_ || now - lastStoreResponseAt_ > maximumContactGap)) {
        continuousContactSince_ = now;
    }
    hasStoreCallFailed_ = !isReachable;
    if (isReachable != isStoreReachable_) {
        logLine(
            wallNow(), LogLevel::Warning, isReachable ? "store_regained" : "store_lost", { { "revision", fmt::format("{}", replica_.position().revision_) } });
    }
    isStoreReachable_ = isReachable;
    if (isReachable) {
        lastStoreResponseAt_ = now;
    }
}

auto FleetState::reachesStore() const -> bool
{
    const auto lock = absl::ReaderMutexLock(&mutex_);
    return isStoreReachable_;
}

auto FleetState::lastStoreResponseAt() const -> absl::Time
{
    const auto lock = absl::ReaderMutexLock(&mutex_);
    return lastStoreResponseAt_;
}

}
