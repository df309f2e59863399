#include "process/listeningsockets.h"

#include "connection/tcpconnection.h"

#include <absl/time/clock.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>

namespace lycheecleat
{

namespace
{

// Large enough for simultaneous connects of all callers; the kernel lowers it to its own limit.
constexpr auto listenBacklog = 4096;

/** Pause after an unexpected failure, so that a thread that is woken up again at once doesn't use the whole processor. */
constexpr auto failurePause = absl::Milliseconds(10);

auto makeSpareDescriptor() -> int
{
    return eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
}

}

ListeningSockets::ListeningSockets()
    : spareDescriptor_(makeSpareDescriptor())
{
}

ListeningSockets::~ListeningSockets()
{
    for (const auto listener : listeners_) {
        ::close(listener);
    }
    const auto lock = absl::MutexLock(&mutex_);
    if (spareDescriptor_ >= 0) {
        ::close(spareDescriptor_);
    }
}

auto ListeningSockets::add(const std::string &address) -> Result<int>
{
    auto parsed = sockaddr_storage {};
    const auto length = parseSockaddr(address, parsed);
    if (length == 0) {
        return makeError("listen for callers", address, "the address must be an IP address and a port");
    }
    const auto listener = socket(parsed.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    listeners_.push_back(listener);
    const auto enabled = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    if (::bind(listener, reinterpret_cast<const sockaddr *>(&parsed), length) != 0 || listen(listener, listenBacklog) != 0) {
        return makeError("listen for callers", address, std::generic_category().message(errno));
    }
    auto size = socklen_t { sizeof(parsed) };
    getsockname(listener, reinterpret_cast<sockaddr *>(&parsed), &size);
    return portOf(parsed);
}

auto ListeningSockets::size() const -> std::size_t
{
    return listeners_.size();
}

auto ListeningSockets::descriptor(std::size_t index) const -> int
{
    return listeners_[index];
}

auto ListeningSockets::accept(std::size_t index) -> std::optional<AcceptedSocket>
{
    const auto listener = listeners_[index];
    while (true) {
        auto address = sockaddr_storage {};
        auto size = socklen_t { sizeof(address) };
        const auto socket = accept4(listener, reinterpret_cast<sockaddr *>(&address), &size, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (socket >= 0) {
            return AcceptedSocket { socket, addressText(address) };
        }
        switch (errno) {
        case EINTR:
        case ECONNABORTED:
            continue;
        case EMFILE:
        case ENFILE:
            if (closeNext(listener)) {
                continue;
            }
            absl::SleepFor(failurePause);
            return std::nullopt;
        case ENOBUFS:
        case ENOMEM:
            absl::SleepFor(failurePause);
            return std::nullopt;
        default:
            return std::nullopt;
        }
    }
}

// Closes the next connection in the place of the spare descriptor. False if there is none, or another thread took the descriptor.
auto ListeningSockets::closeNext(int listener) -> bool
{
    const auto lock = absl::MutexLock(&mutex_);
    if (spareDescriptor_ >= 0) {
        ::close(spareDescriptor_);
    }
    const auto socket = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (socket >= 0) {
        ::close(socket);
        closedForDescriptors_ += 1;
    }
    spareDescriptor_ = makeSpareDescriptor();
    return socket >= 0;
}

auto ListeningSockets::shutDown(std::size_t index) -> void
{
    ::shutdown(listeners_[index], SHUT_RDWR);
}

auto ListeningSockets::closedForDescriptors() const -> std::int64_t
{
    return closedForDescriptors_;
}

}
