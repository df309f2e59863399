/** Callers that send large request bodies to one host at the same time; most of them stop just short of the end and keep their connections open. */
#pragma once

#include <atomic>
#include <cstddef>
#include <string>
#include <thread>
#include <vector>

namespace platformtest
{

/** How the callers send their bodies. */
enum class BodyForm {
    /** With a length, as fast as the host reads. */
    Whole,
    /** With a length, in pieces with pauses between them. */
    Pieces,
    LargeChunks,
    /** In chunks of one byte each. */
    SmallChunks,
};

/** What the callers send. */
struct BodyCrowdSettings
{
    BodyForm form_ = BodyForm::Whole;
    int callers_ = 0;
    std::size_t bodyBytes_ = 0;
    /** One caller in this many sends its whole body; the others stop before the last byte of the message. */
    int completeInterval_ = 4;
};

/** The connections of the callers. The destructor closes them. */
class BodyCrowd
{
public:
    /** Starts to send to a host, given as ADDRESS:PORT. */
    BodyCrowd(const std::string &address, const BodyCrowdSettings &settings);
    ~BodyCrowd();
    BodyCrowd(const BodyCrowd &) = delete;
    auto operator=(const BodyCrowd &) -> BodyCrowd & = delete;

    /** Waits until each caller has sent what it sends, was refused, or has not been able to send for some time. The connections stay open. */
    auto waitUntilSent() -> void;

    /** Number of callers that sent their whole body and were answered with status 200; final after waitUntilSent(). */
    [[nodiscard]] auto servedCallers() const -> int;

private:
    auto sendBody(std::size_t index, const BodyCrowdSettings &settings, bool isComplete) -> void;

    std::vector<int> sockets_;
    std::vector<std::thread> threads_;
    std::atomic<int> servedCallers_ = 0;
};

}
