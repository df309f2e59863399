#include "connection/connectedpair.h"
#include "core/testaddress.h"

#include <absl/time/clock.h>
#include <doctest/doctest.h>

#include <functional>
#include <string>
#include <vector>

using namespace lycheecleat;

namespace
{

constexpr auto waitingTime = absl::Milliseconds(200);

struct PeerCase
{
    std::string title_;
    std::function<void(ConnectedPair &)> act_;
    bool isClosed_;
};

/** How a connection ends after its peer has sent bytes. */
struct EndCase
{
    std::string title_;
    bool finishesWriting_;
    bool resets_;
    /** Whether the other side writes after the end, so that its write reports a reset. */
    bool writes_;
    TransferStatus expected_;
};

auto sendBytes(ConnectedPair &pair) -> void
{
    REQUIRE(pair.caller_.write("bytes", monotonicNow() + absl::Seconds(1)) == TransferStatus::Done);
}

}

// Guards against taking a caller for present because the bytes that it sent before it left have not been read.
TEST_CASE("a peer that closed its connection is detected behind unread bytes")
{
    const auto cases = std::vector<PeerCase> {
        { "open", [](ConnectedPair &) {}, false },
        { "open with unread bytes", sendBytes, false },
        { "closed",
          [](ConnectedPair &pair) {
              sendBytes(pair);
              const auto closed = std::move(pair.caller_);
          },
          true },
        { "sending side closed",
          [](ConnectedPair &pair) {
              sendBytes(pair);
              pair.caller_.finishWriting();
          },
          true },
        { "reset",
          [](ConnectedPair &pair) {
              sendBytes(pair);
              pair.caller_.abort();
          },
          true },
    };
    for (const auto &peerCase : cases) {
        CAPTURE(peerCase.title_);
        auto pair = makeConnectedPair(testIp(9, 6));
        peerCase.act_(pair);
        absl::SleepFor(waitingTime);
        CHECK(isPeerClosed(pair.accepted_.socket()) == peerCase.isClosed_);
    }
    CHECK(!isPeerClosed(-1));
}

// Guards against counting a caller's time from when its request was read instead of from its arrival.
TEST_CASE("the time since bytes arrived does not depend on when they are read")
{
    auto pair = makeConnectedPair(testIp(9, 6));
    const auto before = monotonicNow();
    sendBytes(pair);
    absl::SleepFor(waitingTime);
    CHECK(timeSinceArrival(pair.accepted_.socket()) >= waitingTime / 2);
    REQUIRE(pair.accepted_.fillAvailable() == TransferStatus::Done);
    const auto sinceArrival = timeSinceArrival(pair.accepted_.socket());
    CHECK(sinceArrival >= waitingTime / 2);
    CHECK(sinceArrival <= monotonicNow() - before + absl::Milliseconds(20));
    CHECK(timeSinceArrival(-1) == absl::ZeroDuration());
}

// Guards against taking a reset for the end of a message: a socket reports it once, and whichever call comes first gets it.
TEST_CASE("a connection that was reset never looks closed in an orderly way")
{
    const auto cases = std::vector<EndCase> {
        { "closed", true, false, false, TransferStatus::Closed },
        { "closed, then written to", true, false, true, TransferStatus::Closed },
        { "reset", false, true, false, TransferStatus::Failed },
        { "reset, then written to", false, true, true, TransferStatus::Failed },
        { "closed and then reset, then written to", true, true, true, TransferStatus::Closed },
    };
    for (const auto &endCase : cases) {
        CAPTURE(endCase.title_);
        const auto deadline = monotonicNow() + absl::Seconds(5);
        auto pair = makeConnectedPair(testIp(9, 6));
        sendBytes(pair);
        if (endCase.finishesWriting_) {
            pair.caller_.finishWriting();
        }
        if (endCase.resets_) {
            pair.caller_.abort();
        }
        absl::SleepFor(waitingTime);
        if (endCase.writes_) {
            CHECK((pair.accepted_.write("x", deadline) == TransferStatus::Failed) == endCase.resets_);
        }
        CHECK(pair.accepted_.fill(deadline) == TransferStatus::Done);
        CHECK(pair.accepted_.buffered() == "bytes");
        for (auto read = 0; read < 3; ++read) {
            CAPTURE(read);
            CHECK(pair.accepted_.fill(deadline) == endCase.expected_);
        }
    }
}
