#include "request/backendranking.h"

#include "core/digest.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace lycheecleat
{

namespace
{

/** Finalizer of SplitMix64 (Steele, Lea and Flood, 2014): spreads the bits of two combined hashes. */
auto mixBits(std::uint64_t value) -> std::uint64_t
{
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

/** A number in (0, 1) from the upper 53 bits of a hash. */
auto unitInterval(std::uint64_t hash) -> double
{
    constexpr auto discardedBits = 11U;
    constexpr auto steps = 9007199254740992.0;
    return (static_cast<double>(hash >> discardedBits) + 0.5) / steps;
}

auto scoreOf(std::uint64_t object, const WeightedBackend &candidate) -> double
{
    const auto uniform = unitInterval(mixBits(object ^ candidate.backend_->hash_));
    if (candidate.weight_ <= 0) {
        // Negative scores: ranked among themselves, after every server with a positive weight.
        return uniform - 1;
    }
    return -candidate.weight_ / std::log(uniform);
}

}

auto objectHash(std::string_view service, std::string_view route, std::string_view object) -> std::uint64_t
{
    return mixBits(stableHash(service) ^ mixBits(stableHash(route) ^ stableHash(object, 1)));
}

auto rankBackends(std::uint64_t object, const std::vector<WeightedBackend> &backends) -> std::vector<const FleetBackend *>
{
    auto scored = std::vector<std::pair<double, const FleetBackend *>> {};
    scored.reserve(backends.size());
    for (const auto &candidate : backends) {
        scored.emplace_back(scoreOf(object, candidate), candidate.backend_);
    }
    std::sort(scored.begin(), scored.end(), [](const auto &left, const auto &right) {
        return left.first != right.first ? left.first > right.first : left.second->hash_ < right.second->hash_;
    });
    auto ranked = std::vector<const FleetBackend *> {};
    ranked.reserve(scored.size());
    for (const auto &[score, backend] : scored) {
        ranked.push_back(backend);
    }
    return ranked;
}

}
