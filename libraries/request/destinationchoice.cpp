#include "request/destinationchoice.h"

namespace lycheecleat
{

auto chooseDestination(const std::vector<Destination> &destinations, std::uint64_t object) -> Destination
{
    auto sum = 0.0;
    for (const auto &destination : destinations) {
        sum += destination.weight_;
    }
    constexpr auto discardedBits = 11U;
    constexpr auto steps = 9007199254740992.0;
    auto position = static_cast<double>(object >> discardedBits) / steps * sum;
    for (const auto &destination : destinations) {
        position -= destination.weight_;
        if (position < 0) {
            return destination;
        }
    }
    return destinations.empty() ? Destination {} : destinations.back();
}

}
