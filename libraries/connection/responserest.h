/** The rest of a response whose first part is passed on before the last one has been received. */
#pragma once

#include "core/messagebody.h"

#include <cstdint>
#include <functional>
#include <optional>

namespace lycheecleat
{

/** What follows a part of a body. */
enum class BodyPartEnd {
    More,
    /** The body is complete. */
    Complete,
    /** The body was cut short, and must not look complete to whoever gets it. */
    Cut,
};

/** A part of a body. */
struct BodyPart
{
    MessageBody body_;
    BodyPartEnd end_ = BodyPartEnd::Cut;
};

/** The rest of a response. */
struct ResponseRest
{
    /** Length of the whole body; none if it is not known. */
    std::optional<std::uint64_t> length_;
    /** Receives the next part. Blocks until the deadline of the request at the latest. */
    std::function<BodyPart()> next_;
};

}
