/** Asks the holders of organisations' quotas to admit requests, and answers such requests. */
#pragma once

#include "generated/fleet_types.h"
#include "process/organisationquotas.h"
#include "process/pendingreplies.h"

#include <absl/time/time.h>

#include <functional>
#include <optional>
#include <string>

namespace lycheecleat
{

/** Dependencies of a QuotaExchange; all must outlive it. */
struct QuotaExchangeServices
{
    /** Admits a request of another host within this host's part of the organisation's quota. */
    std::function<QuotaAnswer(absl::Time, const std::string &organisation)> admit_;
    /** Sends a request to a host's gossip address. */
    std::function<void(const std::string &address, const fleet::QuotaRequest &)> send_;
};

/** Exchanges requests for admission and their answers in datagrams. Thread-safe. */
class QuotaExchange
{
public:
    explicit QuotaExchange(QuotaExchangeServices services);

    /** Asks a holder to admit a request; none without an answer by the deadline. Blocks. */
    [[nodiscard]] auto ask(absl::Time now, const std::string &address, const std::string &organisation, absl::Time deadline) -> std::optional<QuotaAnswer>;

    /** Answers the request of another host. */
    [[nodiscard]] auto answer(absl::Time now, const fleet::QuotaRequest &request) -> fleet::QuotaReply;

    /** Takes the answer of another host to a request of this one. */
    auto receive(const fleet::QuotaReply &reply) -> void;

private:
    const QuotaExchangeServices services_;
    PendingReplies<QuotaAnswer> pending_;
};

}
