/** Thrift server for calls from other daemons. */
#pragma once

#include "core/error.h"

#include <thrift/TProcessor.h>

#include <memory>
#include <string>

namespace lycheecleat
{

/** Serves calls from peers with one thread per connection. */
class PeerServer
{
public:
    /** Takes the IP address and port to listen on, and the processor of the calls. */
    PeerServer(std::string address, std::shared_ptr<apache::thrift::TProcessor> processor);
    ~PeerServer();
    PeerServer(const PeerServer &) = delete;
    auto operator=(const PeerServer &) -> PeerServer & = delete;

    /** Listens and serves in the background. Errors: the address is malformed or in use. */
    [[nodiscard]] auto start() -> Result<void>;

    /** Closes all connections and waits for the calls in progress. */
    auto stop() -> void;

private:
    struct State;
    std::string address_;
    std::unique_ptr<State> state_;
};

}
