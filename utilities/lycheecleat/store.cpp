#include "store.h"

#include "core/digest.h"

namespace lycheecleat
{

auto makeChangeId(const std::string &command) -> std::string
{
    constexpr auto randomBytes = 8;
    return command + "-" + randomHex(randomBytes);
}

}
