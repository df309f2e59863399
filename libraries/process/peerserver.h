/** Thrift server for the calls of other daemons. */
#pragma once

#include "core/error.h"

#include <thrift/TProcessor.h>

#include <memory>
#include <string>

namespace lycheecleat
{

/** Serves peers' calls, one thread a connection. */
class PeerServer
{
public:
    /** The IP address and port to listen on, and what answers the calls. */
    PeerServer(std::string address, std::shared_ptr<apache::thrift::TProcessor> processor);
    ~PeerServer();
    PeerServer(const PeerServer &) = delete;
    auto operator=(const PeerServer &) -> PeerServer & = delete;

    /** Listens and serves in the background. Errors: the address is malformed or in use. */
    [[nodiscard]] auto start() -> Result<void>;

    /** Ends all connections and waits until the calls being served are done. */
    auto stop() -> void;

private:
    struct State;
    std::string address_;
    std::unique_ptr<State> state_;
};

}
