#include "core/digest.h"

#include <absl/strings/escaping.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <openssl/sha.h>
#include <xxhash.h>

#include <array>
#include <cstdlib>
#include <memory>

namespace lycheecleat
{

namespace
{

auto toHex(const unsigned char *data, std::size_t size) -> std::string
{
    return absl::BytesToHexString(std::string(reinterpret_cast<const char *>(data), size));
}

}

auto sha256Hex(std::string_view data) -> std::string
{
    auto digest = std::array<unsigned char, SHA256_DIGEST_LENGTH> {};
    SHA256(reinterpret_cast<const unsigned char *>(data.data()), data.size(), digest.data());
    return toHex(digest.data(), digest.size());
}

auto sha256Hex(std::string_view head, const MessageBody &body) -> std::string
{
    auto digest = std::array<unsigned char, SHA256_DIGEST_LENGTH> {};
    const auto context = std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)>(EVP_MD_CTX_new(), EVP_MD_CTX_free);
    EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr);
    EVP_DigestUpdate(context.get(), head.data(), head.size());
    for (const auto &piece : body.pieces()) {
        EVP_DigestUpdate(context.get(), piece.data(), piece.size());
    }
    EVP_DigestFinal_ex(context.get(), digest.data(), nullptr);
    return toHex(digest.data(), digest.size());
}

auto hmacHex(std::string_view secret, std::string_view data) -> std::string
{
    auto digest = std::array<unsigned char, EVP_MAX_MD_SIZE> {};
    auto size = 0U;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()), reinterpret_cast<const unsigned char *>(data.data()), data.size(), digest.data(), &size);
    return toHex(digest.data(), size);
}

auto equalConstantTime(std::string_view left, std::string_view right) -> bool
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

auto randomHex(int bytes) -> std::string
{
    auto buffer = std::string(static_cast<std::size_t>(bytes), '\0');
    if (RAND_bytes(reinterpret_cast<unsigned char *>(buffer.data()), bytes) != 1) {
        // There is no fallback, because duplicate identifiers would break the guarantees that rely on them.
        std::abort();
    }
    return absl::BytesToHexString(buffer);
}

auto stableHash(std::string_view data, std::uint64_t seed) -> std::uint64_t
{
    return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

auto rendezvousRank(std::uint64_t host, std::uint64_t key) -> std::uint64_t
{
    constexpr auto multiplier = 0x9e3779b97f4a7c15ULL;
    return (host ^ key) * multiplier;
}

}
