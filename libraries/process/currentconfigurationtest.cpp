#include "process/currentconfiguration.h"

#include <doctest/doctest.h>

#include <cstdint>
#include <memory>
#include <vector>

using namespace lycheecleat;

namespace
{

auto configurationOf(std::int64_t revision) -> ConfigurationPointer
{
    auto configuration = Configuration {};
    configuration.revision_ = revision;
    return std::make_shared<const Configuration>(configuration);
}

struct ReadingCase
{
    /** Revision that is activated during each call of the function; 0 for none. */
    std::vector<std::int64_t> activations_;
    /** Revisions with which the function must be called. */
    std::vector<std::int64_t> calls_;
};

}

// Guards against judging an older configuration by a value, such as the age of the store state, that belongs to a newer one.
TEST_CASE("a value is returned with the configuration that was active while it was determined")
{
    const auto cases = std::vector<ReadingCase> {
        { { 0 }, { 1 } },
        { { 2, 0 }, { 1, 2 } },
        { { 2, 3, 0 }, { 1, 2, 3 } },
    };
    for (const auto &readingCase : cases) {
        CAPTURE(readingCase.activations_);
        auto current = CurrentConfiguration {};
        current.advance(configurationOf(1));
        auto calls = std::vector<std::int64_t> {};
        const auto reading = readWithConfiguration(current, [&](const Configuration &configuration) {
            const auto activation = readingCase.activations_[calls.size()];
            calls.push_back(configuration.revision_);
            current.advance(configurationOf(activation));
            return configuration.revision_;
        });
        CHECK(calls == readingCase.calls_);
        CHECK(reading.value_ == readingCase.calls_.back());
        CHECK(reading.configuration_->revision_ == reading.value_);
    }
}
