/** Dispatches calls from peers to the components of the process that handle them. */
#pragma once

#include "generated/Peer.h"
#include "process/configurationwatcher.h"
#include "process/limitenforcer.h"
#include "process/membership.h"
#include "process/processortime.h"
#include "process/requesthandler.h"

namespace lycheecleat
{

/** The components that handle calls from peers; all must outlive the handler. */
struct PeerServices
{
    Membership *membership_ = nullptr;
    ConfigurationWatcher *configurationWatcher_ = nullptr;
    LimitEnforcer *limits_ = nullptr;
    RequestHandler *requests_ = nullptr;
    /** Measures exchanges and configuration fetches, which belong to the control plane and not to requests. */
    ProcessorTimeMeter *controlPlaneTime_ = nullptr;
};

/** Handles calls from peers. Thread-safe. */
class PeerHandler : public peer::PeerIf
{
public:
    explicit PeerHandler(PeerServices services);

    auto exchange(peer::HostState &reply, const peer::HostState &sender) -> void override;
    auto fetchBundle(peer::ConfigurationBundle &reply, std::int64_t revision) -> void override;
    auto borrowRate(peer::RateLoan &reply, const std::string &borrower, std::int64_t revision, const std::string &limit, double rate, double burst)
        -> void override;
    auto borrowSlots(peer::SlotLoan &reply, const std::string &borrower, std::int64_t revision, const std::string &pool, std::int32_t count) -> void override;
    auto returnSlots(const std::string &borrower, const std::string &pool, std::int64_t loan, const std::map<std::string, std::int32_t> &kept) -> void override;
    auto forward(peer::ForwardedAnswer &reply, const peer::ForwardedRequest &request) -> void override;

private:
    PeerServices services_;
};

}
