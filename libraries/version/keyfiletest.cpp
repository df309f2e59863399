#include "version/keyfile.h"

#include "core/digest.h"
#include "version/rulefolder.h"

#include <doctest/doctest.h>

#include <string>

using namespace lycheecleat;

// Guards against a granted or withdrawn key whose file is read back as another key or state.
TEST_CASE("checkRules reads back the rule that keyFile writes")
{
    for (const auto active : { true, false }) {
        CAPTURE(active);
        const auto key = Key { "divers-1", "divers", hmacHex("secret", makeKey()), active };
        const auto checked = checkRules({ { "a.yaml", "kind: organisation\nname: divers\nrate: 1/s\nburst: 1\n" }, keyFile(key) });
        CHECK(checked.problems_.empty());
        REQUIRE(checked.configuration_.keys_.size() == 1);
        CHECK(checked.configuration_.keys_.front() == key);
    }
}

// Guards against keys that can be guessed.
TEST_CASE("makeKey returns 256 random bits")
{
    const auto key = makeKey();
    CHECK(key.rfind(keyPrefix, 0) == 0);
    CHECK(key.size() == std::string(keyPrefix).size() + 64);
    CHECK(key != makeKey());
}
