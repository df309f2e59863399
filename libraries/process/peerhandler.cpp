#include "process/peerhandler.h"

#include "core/clock.h"

namespace lycheecleat
{

PeerHandler::PeerHandler(PeerServices services)
    : services_(services)
{
}

auto PeerHandler::exchange(peer::HostState &reply, const peer::HostState &sender) -> void
{
    const auto scope = ProcessorTimeMeter::Scope(*services_.controlPlaneTime_);
    services_.membership_->receive(monotonicNow(), sender);
    reply = services_.membership_->ownState();
}

auto PeerHandler::fetchBundle(peer::ConfigurationBundle &reply, std::int64_t revision) -> void
{
    const auto scope = ProcessorTimeMeter::Scope(*services_.controlPlaneTime_);
    reply = services_.configurationWatcher_->bundleFor(revision);
}

auto PeerHandler::borrowRate(peer::RateLoan &reply, const std::string &borrower, std::int64_t revision, const std::string &limit, double rate, double burst)
    -> void
{
    reply = services_.limits_->lendRate(monotonicNow(), borrower, revision, limit, rate, burst);
}

auto PeerHandler::borrowSlots(peer::SlotLoan &reply, const std::string &borrower, std::int64_t revision, const std::string &pool, std::int32_t count) -> void
{
    reply = services_.limits_->lendSlots(monotonicNow(), borrower, revision, pool, count);
}

auto PeerHandler::returnSlots(const std::string &borrower, const std::string &pool, std::int64_t loan, const std::map<std::string, std::int32_t> &kept) -> void
{
    (void)borrower;
    services_.limits_->acceptReturnedSlots(monotonicNow(), pool, loan, kept);
}

auto PeerHandler::forward(peer::ForwardedAnswer &reply, const peer::ForwardedRequest &request) -> void
{
    reply = services_.requests_->handleForwarded(request);
}

}
