#include "process/permitexchange.h"

#include "core/clock.h"

#include <absl/time/clock.h>
#include <doctest/doctest.h>

#include <limits>
#include <string>
#include <thread>
#include <vector>

using namespace lycheecleat;

namespace
{

constexpr auto answerTime = absl::Milliseconds(30);
constexpr auto timeout = absl::Milliseconds(300);

auto limitOfThree() -> KnownLimit
{
    return { "b", 1, { 3, monotonicNow() } };
}

/** A host whose requests are answered by a peer, in a thread of its own, as if over datagrams. */
class ExchangeFixture
{
public:
    explicit ExchangeFixture(bool isPeerIssuer, bool isPeerInformed = true, bool isAnswerLost = false)
        : peer_({ [isPeerIssuer](absl::Time, const std::string &, const std::string &) {
                     return PermitIssuer { isPeerIssuer, "third" };
                 },
                  [isPeerInformed](absl::Time) {
                      return isPeerInformed;
                  },
                  [](absl::Time, const KnownLimit &known) {
                      return PermitAnswer { { true, absl::ZeroDuration() }, known.statement_ };
                  },
                  nullptr })
        , host_({ [](absl::Time, const std::string &, const std::string &) {
                     return PermitIssuer { false, "peer" };
                 },
                  nullptr,
                  nullptr,
                  [this, isAnswerLost](const std::string &address, const fleet::PermitRequest &request) {
                      addresses_.push_back(address);
                      answers_.emplace_back([this, request, isAnswerLost] {
                          absl::SleepFor(answerTime);
                          const auto reply = peer_.answer(monotonicNow(), request);
                          for (auto copy = 0; copy < 2 && !isAnswerLost; ++copy) {
                              host_.receive(monotonicNow(), reply);
                          }
                      });
                  } })
    {
    }

    ~ExchangeFixture()
    {
        for (auto &answer : answers_) {
            answer.join();
        }
    }

    ExchangeFixture(const ExchangeFixture &) = delete;
    auto operator=(const ExchangeFixture &) -> ExchangeFixture & = delete;

    auto ask(const KnownLimit &known) -> std::optional<PermitAnswer>
    {
        const auto now = monotonicNow();
        return host_.ask(now, { "zone-a", known }, now + timeout);
    }

    [[nodiscard]] auto addresses() const -> const std::vector<std::string> &
    {
        return addresses_;
    }

private:
    PermitExchange peer_;
    PermitExchange host_;
    std::vector<std::string> addresses_;
    std::vector<std::thread> answers_;
};

}

// Guards against permits that are lost or taken twice on their way, and against a host that issues permits although it may not be the only one.
TEST_CASE("a permit is granted by an informed issuer that answers in time")
{
    struct ExchangeCase
    {
        std::string title_;
        bool isPeerIssuer_;
        bool isPeerInformed_;
        bool isAnswerLost_;
        bool isAnswered_;
        bool isGranted_;
    };
    const auto cases = std::vector<ExchangeCase> {
        { "granted, answered twice", true, true, false, true, true },
        { "another host issues", false, true, false, true, false },
        { "the issuer has just started", true, false, false, true, false },
        { "the answer is lost", true, true, true, false, false },
    };
    for (const auto &exchangeCase : cases) {
        CAPTURE(exchangeCase.title_);
        auto fixture = ExchangeFixture(exchangeCase.isPeerIssuer_, exchangeCase.isPeerInformed_, exchangeCase.isAnswerLost_);
        const auto begun = monotonicNow();
        const auto answer = fixture.ask(limitOfThree());
        CHECK(answer.has_value() == exchangeCase.isAnswered_);
        CHECK((answer && answer->decision_.isGranted_) == exchangeCase.isGranted_);
        CHECK((monotonicNow() - begun >= timeout) == !exchangeCase.isAnswered_);
        if (answer && !exchangeCase.isGranted_) {
            CHECK(answer->decision_.retryAfter_ > absl::ZeroDuration());
        }
        CHECK(fixture.addresses() == std::vector<std::string> { "peer" });
    }
}

// Guards against a host that waits for an answer of its own, and against one that asks nobody.
TEST_CASE("a host that issues permits itself needs no message, and one without an issuer gets none")
{
    auto isKnown = true;
    auto exchange = PermitExchange({ [&](absl::Time, const std::string &, const std::string &) {
                                        return isKnown ? std::optional(PermitIssuer { true, "self" }) : std::nullopt;
                                    },
                                     [](absl::Time) {
                                         return true;
                                     },
                                     [](absl::Time, const KnownLimit &known) {
                                         return PermitAnswer { { true, absl::ZeroDuration() }, known.statement_ };
                                     },
                                     nullptr });
    const auto now = monotonicNow();
    const auto query = PermitQuery { "zone-a", limitOfThree() };
    CHECK(exchange.ask(now, query, now + timeout)->decision_.isGranted_);
    isKnown = false;
    CHECK(!exchange.ask(now, query, now + timeout));
}

// Guards against an old statement that becomes newer each time it is passed on, until it replaces what the server said later.
TEST_CASE("a statement never becomes newer by being passed on")
{
    const auto now = monotonicNow();
    auto known = KnownLimit { "b", 1, { 3, now - absl::Seconds(1) } };
    for (auto hop = 0; hop < 100; ++hop) {
        const auto sentAt = now + absl::Milliseconds(hop * 100);
        const auto received = fromMessage(sentAt + absl::Milliseconds(100), toMessage(sentAt, known));
        CHECK(received.statement_.at_ < known.statement_.at_);
        CHECK(received.statement_.requestsPerSecond_ == known.statement_.requestsPerSecond_);
        known = received;
    }
    const auto ended = KnownLimit { "b", 1, { std::nullopt, now } };
    CHECK(fromMessage(now, toMessage(now, ended)).statement_.requestsPerSecond_ == std::nullopt);
    CHECK(fromMessage(now, toMessage(now, { "b", 1, {} })).statement_.at_ < now - absl::Hours(24));
}

// Guards against a peer whose message takes out a server, or exceeds its limit, by values that no server names.
TEST_CASE("messages with values out of range are not used")
{
    struct RangeCase
    {
        std::string backend_;
        double requestsPerSecond_;
        std::int32_t ageMillis_;
        bool isUsable_;
    };
    const auto cases = std::vector<RangeCase> {
        { "b", 3, 0, true },
        { "b", 0, 1000, true },
        { "", 3, 0, false },
        { std::string(1000, 'b'), 3, 0, false },
        { "b", -1, 0, false },
        { "b", 1e300, 0, false },
        { "b", std::numeric_limits<double>::quiet_NaN(), 0, false },
        { "b", std::numeric_limits<double>::infinity(), 0, false },
        { "b", 3, -1, false },
    };
    for (const auto &rangeCase : cases) {
        CAPTURE(rangeCase.requestsPerSecond_);
        CAPTURE(rangeCase.ageMillis_);
        auto sighting = fleet::LimitSighting {};
        sighting.backend = rangeCase.backend_;
        sighting.__set_requestsPerSecond(rangeCase.requestsPerSecond_);
        sighting.ageMillis = rangeCase.ageMillis_;
        CHECK(isInRange(sighting) == rangeCase.isUsable_);
    }
}
