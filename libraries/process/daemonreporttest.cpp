#include "process/daemonreport.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <set>

using namespace lycheecleat;

namespace
{

auto makeSnapshot() -> DaemonSnapshot
{
    auto configuration = Configuration {};
    configuration.revision_ = 4;
    configuration.digest_ = "d4";
    auto seenPeer = PeerView {};
    seenPeer.host_ = EntryHost { "h2", "b", "", "" };
    seenPeer.state_.run = "r2";
    seenPeer.state_.revision = 3;
    seenPeer.state_.knowledgeAgeMicros = 2500;
    auto unseenPeer = PeerView {};
    unseenPeer.host_ = EntryHost { "h3", "c", "", "" };
    auto snapshot = DaemonSnapshot {};
    snapshot.host_ = "h1";
    snapshot.zone_ = "a";
    snapshot.now_ = absl::UnixEpoch() + absl::Seconds(100);
    seenPeer.lastSeenAt_ = snapshot.now_ - absl::Seconds(1);
    snapshot.configuration_ = std::make_shared<const Configuration>(configuration);
    snapshot.storeStateAge_ = absl::InfiniteDuration();
    snapshot.peers_ = { seenPeer, unseenPeer };
    snapshot.inFlight_ = 3;
    snapshot.threads_ = 10;
    return snapshot;
}

auto valueOf(const std::vector<MetricValue> &values, const std::string &name) -> double
{
    const auto found = std::find_if(values.begin(), values.end(), [&](const MetricValue &value) {
        return value.name_ == name;
    });
    return found == values.end() ? -1 : found->value_;
}

}

// Guards against a peer that was never seen but is reported like one that was seen just now.
TEST_CASE("the status lists the age of each seen peer, and unseen peers separately")
{
    const auto status = statusJson(makeSnapshot());
    CHECK(status.at("revision") == 4);
    CHECK(status.at("knowledge").at("age_ms").is_null());
    REQUIRE(status.at("peers").size() == 1);
    const auto &peer = status.at("peers").at(0);
    CHECK(peer.at("name") == "h2");
    CHECK(peer.at("age_ms") == 1000);
    CHECK(peer.at("live") == true);
    CHECK(peer.at("knowledge_age_ms") == 2);
    CHECK(status.at("silent_peers") == nlohmann::json { "h3" });
}

// Guards against a metric whose values are not adjacent: the text format allows one group of values for each name.
TEST_CASE("the values of one metric are adjacent")
{
    auto snapshot = makeSnapshot();
    snapshot.traffic_.calls_ = { { "exchange", 5 }, { "forward", 1 } };
    const auto values = metricValuesOf(snapshot);
    auto finished = std::set<std::string> {};
    auto current = std::string {};
    for (const auto &value : values) {
        if (value.name_ != current) {
            CHECK(finished.count(value.name_) == 0);
            finished.insert(value.name_);
            current = value.name_;
        }
    }
    CHECK(valueOf(values, "lycheecleat_request_headroom") == 7);
    CHECK(valueOf(values, "lycheecleat_configuration_revision") == 4);
    CHECK(valueOf(values, "lycheecleat_peers_live") == 1);
}
