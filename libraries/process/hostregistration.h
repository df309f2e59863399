/** The registration of an entry host in the store. */
#pragma once

#include "core/error.h"
#include "generated/fleet_types.h"

#include <string>

namespace lycheecleat
{

/** Checks the ranges of an identity that another host or the store has sent. Errors: the first field that cannot be used. */
[[nodiscard]] auto checkHostIdentity(const fleet::HostIdentity &identity) -> Result<void>;

/** The stored form of a registration, as JSON. */
[[nodiscard]] auto encodeHostRegistration(const fleet::HostIdentity &identity) -> std::string;

/** Decodes the stored form of a registration. Errors: the text is not a valid registration, or a value is out of range. */
[[nodiscard]] auto decodeHostRegistration(const std::string &name, const std::string &value) -> Result<fleet::HostIdentity>;

}
