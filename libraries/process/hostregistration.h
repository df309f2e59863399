/** The registration of an entry host in the store. */
#pragma once

#include "core/error.h"
#include "generated/fleet_types.h"

#include <string>

namespace lycheecleat
{

/** The stored form of a registration, as JSON. */
[[nodiscard]] auto encodeHostRegistration(const fleet::HostIdentity &identity) -> std::string;

/** Decodes the stored form of a registration. Errors: the text is not a valid registration. */
[[nodiscard]] auto decodeHostRegistration(const std::string &name, const std::string &value) -> Result<fleet::HostIdentity>;

}
