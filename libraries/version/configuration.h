/** One validated revision of the operators' configuration. */
#pragma once

#include "version/clientblocks.h"
#include "version/drain.h"
#include "version/entryhost.h"
#include "version/key.h"
#include "version/organisation.h"
#include "version/platform.h"
#include "version/pool.h"
#include "version/region.h"
#include "version/route.h"
#include "version/shift.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace lycheecleat
{

/** A configuration revision whose references have been validated. Each vector is in file order. Shared between threads as ConfigurationPointer. */
struct Configuration
{
    /** Revision in the store; 0 if it has not been stored. */
    std::int64_t revision_ = 0;
    /** SHA-256 of the head record. */
    std::string digest_;
    Platform platform_;
    std::vector<Region> regions_;
    std::vector<EntryHost> entryHosts_;
    std::vector<Organisation> organisations_;
    std::vector<Key> keys_;
    std::vector<Pool> pools_;
    std::vector<Route> routes_;
    std::vector<Shift> shifts_;
    std::vector<Drain> drains_;
    std::vector<ClientBlocks> clientBlocks_;

    auto operator==(const Configuration &other) const -> bool = default;
};

/** A configuration revision, kept alive by the requests that started with it. */
using ConfigurationPointer = std::shared_ptr<const Configuration>;

/** The region that lists a zone; empty if none does. */
[[nodiscard]] auto regionOfZone(const Configuration &configuration, const std::string &zone) -> std::string;

/** Whether a backend server is drained by a rule, by its own name or by its zone. */
[[nodiscard]] auto isDrained(const Configuration &configuration, const BackendServer &backend) -> bool;

/** Whether an entry host is drained by a rule, by its own name or by its zone. */
[[nodiscard]] auto isDrained(const Configuration &configuration, const EntryHost &host) -> bool;

/** The first element with the name; null if there is none. The pointer is valid as long as the vector is unchanged. */
template<typename Element>
[[nodiscard]] auto findByName(const std::vector<Element> &elements, const std::string &name) -> const Element *
{
    for (const auto &element : elements) {
        if (element.name_ == name) {
            return &element;
        }
    }
    return nullptr;
}

}
