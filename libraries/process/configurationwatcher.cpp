#include "process/configurationwatcher.h"

#include "core/clock.h"
#include "core/digest.h"
#include "core/log.h"
#include "process/processortime.h"
#include "version/rulefolder.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <utility>

namespace lycheecleat
{

namespace
{

/** Time between two checks whether this host has to watch the store. */
constexpr auto roleCheckInterval = absl::Milliseconds(200);

/** Delay after a failed store call, so that a store that refuses connections isn't called in a tight loop. */
constexpr auto storeRetryDelay = absl::Milliseconds(500);

/** Delay after a head that was not activated, since a watch with an outdated version returns at once. */
constexpr auto rejectedHeadDelay = absl::Milliseconds(500);

/** Timeout of fetching a configuration from a peer. */
constexpr auto fetchTimeout = absl::Seconds(2);

/** Threads that fetch from peers. More than one, so that a peer that hangs doesn't block a fetch from another. */
constexpr auto fetchThreads = 2;

/** The same rejection is logged again after this time. */
constexpr auto rejectionLogInterval = absl::Seconds(30);

auto identityOf(const Head &head) -> HeadIdentity
{
    return HeadIdentity { head.revision_, sha256Hex(serializeHead(head)) };
}

auto describeProblems(const std::vector<RuleProblem> &problems) -> std::string
{
    const auto &first = problems.front();
    return fmt::format("{} problems; the first is {}:{}: {}: {}", problems.size(), first.file_, first.line_, first.field_, first.message_);
}

auto logConfiguration(LogLevel level, const char *event, const HeadIdentity &identity, const std::string &source, const std::string &detail) -> void
{
    logLine(wallNow(),
            level,
            event,
            { { "revision", std::to_string(identity.revision_) }, { "digest", identity.digest_ }, { "source", source }, { "detail", detail } });
}

}

auto shouldWatchStore(const StoreWatchInputs &inputs) -> bool
{
    if (inputs.revision_ == 0 || !inputs.declared_) {
        return true;
    }
    if (inputs.precedingLiveHosts_ < storeWatchersPerZone) {
        return true;
    }
    return inputs.inStoreZone_ && inputs.storeStateAge_ > inputs.freshness_ / 2;
}

auto compareHeads(const HeadIdentity &currentHead, const HeadIdentity &offered) -> HeadComparison
{
    if (offered.revision_ > currentHead.revision_) {
        return HeadComparison::Newer;
    }
    if (offered.revision_ < currentHead.revision_) {
        return HeadComparison::Older;
    }
    return offered.digest_ == currentHead.digest_ ? HeadComparison::Same : HeadComparison::Conflict;
}

auto leavingMachines(const HostList &list) -> std::vector<std::string>
{
    auto machines = std::set<std::string> {};
    for (const auto &host : list.hosts_) {
        if (host.leaving_) {
            machines.insert(host.name_);
            machines.insert(host.address_);
        }
    }
    machines.erase("");
    return { machines.begin(), machines.end() };
}

auto leavingBackendsOf(const std::vector<std::string> &machines, const Configuration &configuration) -> std::vector<std::string>
{
    const auto leaving = std::set<std::string>(machines.begin(), machines.end());
    auto names = std::set<std::string> {};
    for (const auto &pool : configuration.pools_) {
        for (const auto &backend : pool.backends_) {
            if (leaving.count(backend.name_) > 0 || leaving.count(backend.address_) > 0) {
                names.insert(backend.name_);
            }
        }
    }
    return { names.begin(), names.end() };
}

auto storeReadFunctions(StoreClient &store) -> StoreReadFunctions
{
    return StoreReadFunctions {
        [&store](const std::string &key) {
            return store.get(key);
        },
        [&store](const std::string &key, std::int64_t knownVersion, absl::Duration wait) {
            return store.watch(key, knownVersion, wait);
        },
        [&store] {
            return store.hostList();
        },
    };
}

ConfigurationWatcher::ConfigurationWatcher(ConfigurationWatcherServices services)
    : services_(std::move(services))
{
}

ConfigurationWatcher::~ConfigurationWatcher()
{
    stop();
}

auto ConfigurationWatcher::start() -> void
{
    threads_.emplace_back([this] {
        watchStore();
    });
    for (auto index = 0; index < fetchThreads; ++index) {
        threads_.emplace_back([this] {
            fetchFromPeers();
        });
    }
}

auto ConfigurationWatcher::stop() -> void
{
    {
        const auto lock = absl::MutexLock(&mutex_);
        stopping_ = true;
        changed_.SignalAll();
    }
    for (auto &thread : threads_) {
        thread.join();
    }
    threads_.clear();
}

auto ConfigurationWatcher::handlePeerState(const PeerUpdate &update) -> bool
{
    const auto &state = update.state_;
    updateHostList(state.hostListSequence, state.leavingBackends);
    const auto offered = HeadIdentity { state.revision, state.digest };
    const auto comparison = compareHeads(currentHead(), offered);
    if (comparison == HeadComparison::Conflict && state.revision > 0) {
        reportRejection("conflict", offered, update.address_, "a peer has another digest for the current revision");
    }
    if (comparison != HeadComparison::Newer) {
        // A peer that has an older revision but recent store state has read a store that went back to that revision, so the age of its state doesn't hold
        // for this host.
        return comparison == HeadComparison::Same;
    }
    const auto lock = absl::MutexLock(&mutex_);
    if (offered == invalidHead_ || update.address_.empty()) {
        return false;
    }
    fetchTarget_ = FetchTarget { update.address_, state.revision };
    changed_.SignalAll();
    return false;
}

auto ConfigurationWatcher::bundleFor(std::int64_t revision) const -> peer::ConfigurationBundle
{
    auto bundle = std::shared_ptr<const Bundle> {};
    {
        const auto lock = absl::ReaderMutexLock(&mutex_);
        bundle = bundle_;
    }
    auto reply = peer::ConfigurationBundle {};
    if (bundle->head_.revision_ < revision) {
        return reply;
    }
    reply.revision = bundle->head_.revision_;
    reply.head = serializeHead(bundle->head_);
    reply.chunks = bundle->chunks_;
    return reply;
}

auto ConfigurationWatcher::leavingBackends(const Configuration &configuration) const -> std::vector<std::string>
{
    const auto lock = absl::ReaderMutexLock(&mutex_);
    return leavingBackendsOf(leavingMachines_, configuration);
}

auto ConfigurationWatcher::fillHostListState(peer::HostState &state) const -> void
{
    const auto lock = absl::ReaderMutexLock(&mutex_);
    state.hostListSequence = hostListSequence_;
    state.leavingBackends = leavingMachines_;
}

auto ConfigurationWatcher::counts() const -> ConfigurationWatcherCounts
{
    const auto lock = absl::ReaderMutexLock(&mutex_);
    return counts_;
}

auto ConfigurationWatcher::processorTime() -> absl::Duration
{
    return processorTimeOf(threads_);
}

auto ConfigurationWatcher::watchStore() -> void
{
    while (!isStopping()) {
        if (!shouldWatchStoreAt(monotonicNow())) {
            pause(roleCheckInterval);
            continue;
        }
        watchHead();
        if (monotonicNow() - hostListReadAt_ >= hostListReadInterval) {
            readHostList();
        }
    }
}

auto ConfigurationWatcher::shouldWatchStoreAt(absl::Time now) const -> bool
{
    const auto configuration = services_.configuration_->get();
    const auto &platform = configuration->platform_;
    auto inputs = StoreWatchInputs { configuration->revision_, false, 0, false, services_.freshness_->ageAt(now), platform.freshness_ };
    inputs.inStoreZone_ = std::find(platform.storeZones_.begin(), platform.storeZones_.end(), services_.zone_) != platform.storeZones_.end();
    auto available = std::set<std::string> {};
    const auto views = services_.membership_->views();
    for (const auto &view : views) {
        if (isLive(view.lastSeenAt_, now, views.size()) && !view.state_.leaving) {
            available.insert(view.host_.name_);
        }
    }
    for (const auto &host : configuration->entryHosts_) {
        if (host.name_ == services_.hostName_) {
            inputs.declared_ = true;
            break;
        }
        if (host.zone_ == services_.zone_ && available.count(host.name_) > 0) {
            ++inputs.precedingLiveHosts_;
        }
    }
    return shouldWatchStore(inputs);
}

auto ConfigurationWatcher::watchHead() -> void
{
    const auto revisionBefore = currentHead().revision_;
    const auto sentAt = monotonicNow();
    const auto outcome = attempt([&] {
        return services_.store_.watch_(headKey, lastHeadVersion_, headWatchTimeout);
    });
    {
        const auto lock = absl::MutexLock(&mutex_);
        ++counts_.headWatches_;
    }
    if (const auto *error = std::get_if<Error>(&outcome)) {
        {
            const auto lock = absl::MutexLock(&mutex_);
            ++counts_.storeFailures_;
        }
        logLine(wallNow(), LogLevel::Info, "store_call_failed", { { "error", describe(*error) } });
        pause(storeRetryDelay);
        return;
    }
    handleStoredHead(sentAt, revisionBefore, std::get<StoreEntry>(outcome));
}

auto ConfigurationWatcher::handleStoredHead(absl::Time sentAt, std::int64_t revisionBefore, const StoreEntry &entry) -> void
{
    lastHeadVersion_ = entry.version_;
    if (entry.version_ == 0) {
        if (revisionBefore > 0) {
            reportRejection("older", HeadIdentity {}, "store", "the store holds no configuration");
        }
        pause(rejectedHeadDelay);
        return;
    }
    const auto outcome = attempt([&]() -> Result<Bundle> {
        BOOST_LEAF_AUTO(head, parseHead(entry.value_));
        return readChunks(head);
    });
    if (const auto *error = std::get_if<Error>(&outcome)) {
        logLine(wallNow(), LogLevel::Warning, "configuration_not_read", { { "source", "store" }, { "error", describe(*error) } });
        // With version 0 the next watch returns at once, so that the chunks are read again without a new version of the head.
        lastHeadVersion_ = 0;
        pause(storeRetryDelay);
        return;
    }
    // The response makes this host's store state fresh only if the store's head is current here. A store that returns older or invalid data may lack
    // later withdrawals, so it is treated as a store that doesn't respond.
    const auto identity = identityOf(std::get<Bundle>(outcome).head_);
    if (apply(std::get<Bundle>(outcome), "store") == ApplyResult::Current) {
        services_.freshness_->recordStoreResponse(sentAt);
        return;
    }
    // A newer revision may have come from a peer while the store was read, so the head is compared with the revision that was current before the read.
    if (identity.revision_ < revisionBefore) {
        reportRejection("older", identity, "store", "a newer revision is current");
    }
    pause(rejectedHeadDelay);
}

auto ConfigurationWatcher::readChunks(const Head &head) -> Result<Bundle>
{
    auto bundle = Bundle { head, {} };
    const auto identity = identityOf(head);
    auto current = std::shared_ptr<const Bundle> {};
    {
        const auto lock = absl::ReaderMutexLock(&mutex_);
        current = bundle_;
        // Chunks are read only for a newer head that isn't known to be invalid.
        if (identity == invalidHead_) {
            return bundle;
        }
    }
    if (compareHeads(currentHead(), identity) != HeadComparison::Newer) {
        return bundle;
    }
    for (const auto &[bucket, digest] : head.chunks_) {
        const auto currentChunk = current->chunks_.find(digest);
        if (currentChunk != current->chunks_.end()) {
            bundle.chunks_.insert(*currentChunk);
            continue;
        }
        {
            const auto lock = absl::MutexLock(&mutex_);
            ++counts_.chunkReads_;
        }
        BOOST_LEAF_AUTO(entry, services_.store_.get_(chunkKeyPrefix + digest));
        bundle.chunks_[digest] = entry.value_;
    }
    return bundle;
}

auto ConfigurationWatcher::readHostList() -> void
{
    hostListReadAt_ = monotonicNow();
    const auto outcome = attempt([&] {
        return services_.store_.hostList_();
    });
    {
        const auto lock = absl::MutexLock(&mutex_);
        ++counts_.hostListReads_;
    }
    const auto *list = std::get_if<HostList>(&outcome);
    if (list == nullptr) {
        const auto lock = absl::MutexLock(&mutex_);
        ++counts_.storeFailures_;
        return;
    }
    updateHostList(list->sequence_, leavingMachines(*list));
}

auto ConfigurationWatcher::updateHostList(std::int64_t sequence, const std::vector<std::string> &machines) -> void
{
    const auto lock = absl::MutexLock(&mutex_);
    if (sequence <= hostListSequence_) {
        return;
    }
    hostListSequence_ = sequence;
    leavingMachines_ = machines;
    // Called under the lock, so that an older list can't replace a newer one.
    services_.onLeavingBackends_(leavingBackendsOf(machines, *services_.configuration_->get()));
}

auto ConfigurationWatcher::fetchFromPeers() -> void
{
    while (const auto target = waitForFetchTarget()) {
        fetchFromPeer(*target);
    }
}

auto ConfigurationWatcher::waitForFetchTarget() -> std::optional<FetchTarget>
{
    const auto lock = absl::MutexLock(&mutex_);
    while (!fetchTarget_ && !stopping_) {
        changed_.Wait(&mutex_);
    }
    if (stopping_) {
        return std::nullopt;
    }
    return std::exchange(fetchTarget_, std::nullopt);
}

auto ConfigurationWatcher::fetchFromPeer(const FetchTarget &target) -> void
{
    if (target.revision_ <= currentHead().revision_) {
        return;
    }
    {
        const auto lock = absl::MutexLock(&mutex_);
        ++counts_.bundleFetches_;
    }
    const auto outcome = attempt([&]() -> Result<Bundle> {
        BOOST_LEAF_AUTO(reply, services_.peers_->fetchBundle(target.address_, target.revision_, fetchTimeout));
        if (reply.revision < target.revision_) {
            return makeError("fetch configuration from peer", target.address_, "the peer no longer has the revision");
        }
        BOOST_LEAF_AUTO(head, parseHead(reply.head));
        return Bundle { head, std::move(reply.chunks) };
    });
    if (const auto *error = std::get_if<Error>(&outcome)) {
        logLine(wallNow(), LogLevel::Warning, "configuration_not_read", { { "source", target.address_ }, { "error", describe(*error) } });
        return;
    }
    static_cast<void>(apply(std::get<Bundle>(outcome), target.address_));
}

auto ConfigurationWatcher::apply(Bundle bundle, const std::string &source) -> ApplyResult
{
    const auto applyLock = absl::MutexLock(&applyMutex_);
    const auto offered = identityOf(bundle.head_);
    switch (compareHeads(currentHead(), offered)) {
    case HeadComparison::Same:
        return ApplyResult::Current;
    case HeadComparison::Older:
        return ApplyResult::Older;
    case HeadComparison::Conflict:
        reportRejection("conflict", offered, source, "the current configuration has another digest for the same revision");
        return ApplyResult::Rejected;
    case HeadComparison::Newer:
        break;
    }
    {
        const auto lock = absl::MutexLock(&mutex_);
        if (offered == invalidHead_) {
            return ApplyResult::Rejected;
        }
    }
    return activate(std::move(bundle), offered, source);
}

auto ConfigurationWatcher::activate(Bundle bundle, const HeadIdentity &identity, const std::string &source) -> ApplyResult
{
    const auto unpacked = attempt([&] {
        return unpackBundle(bundle);
    });
    if (const auto *error = std::get_if<Error>(&unpacked)) {
        // The head isn't recorded as invalid, since another source may have undamaged chunks.
        reportRejection("damaged", identity, source, describe(*error));
        return ApplyResult::Rejected;
    }
    auto checked = checkRules(std::get<RuleFiles>(unpacked));
    if (!checked.problems_.empty()) {
        reportRejection("wrong_rules", identity, source, describeProblems(checked.problems_));
        const auto lock = absl::MutexLock(&mutex_);
        invalidHead_ = identity;
        return ApplyResult::Rejected;
    }
    checked.configuration_.revision_ = identity.revision_;
    checked.configuration_.digest_ = identity.digest_;
    const auto next = std::make_shared<const Configuration>(std::move(checked.configuration_));
    services_.beforeActivation_(next);
    {
        const auto lock = absl::MutexLock(&mutex_);
        bundle_ = std::make_shared<const Bundle>(std::move(bundle));
        ++counts_.activated_;
    }
    services_.configuration_->advance(next);
    services_.onLeavingBackends_(leavingBackends(*next));
    services_.freshness_->removeAppliedWithdrawals(*next);
    logConfiguration(LogLevel::Info, "configuration_in_force", identity, source, "");
    services_.membership_->triggerExchange(monotonicNow());
    return ApplyResult::Current;
}

auto ConfigurationWatcher::reportRejection(const char *reason, const HeadIdentity &offered, const std::string &source, const std::string &detail) -> void
{
    const auto rejection = fmt::format("{} {} {} {}", reason, offered.revision_, offered.digest_, source);
    const auto now = monotonicNow();
    {
        const auto lock = absl::MutexLock(&mutex_);
        ++counts_.rejectedHeads_;
        if (rejection == lastRejection_ && now - lastRejectionLoggedAt_ < rejectionLogInterval) {
            return;
        }
        lastRejection_ = rejection;
        lastRejectionLoggedAt_ = now;
    }
    const auto current = std::to_string(currentHead().revision_);
    logLine(wallNow(),
            LogLevel::Error,
            "configuration_refused",
            { { "reason", reason },
              { "revision", std::to_string(offered.revision_) },
              { "digest", offered.digest_ },
              { "in_force", current },
              { "source", source },
              { "detail", detail } });
}

auto ConfigurationWatcher::currentHead() const -> HeadIdentity
{
    const auto configuration = services_.configuration_->get();
    return HeadIdentity { configuration->revision_, configuration->digest_ };
}

auto ConfigurationWatcher::pause(absl::Duration time) -> void
{
    const auto until = monotonicNow() + time;
    const auto lock = absl::MutexLock(&mutex_);
    for (auto now = monotonicNow(); !stopping_ && now < until; now = monotonicNow()) {
        changed_.WaitWithTimeout(&mutex_, until - now);
    }
}

auto ConfigurationWatcher::isStopping() const -> bool
{
    const auto lock = absl::ReaderMutexLock(&mutex_);
    return stopping_;
}

}
