#include "contract/digest.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include "core/result.h"

namespace guavabay {

namespace {

/// Value of a hexadecimal digit, or -1.
int digit_value(char c)
{
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    if (c >= 'a' && c <= 'f') {
        return c - 'a' + 10;
    }
    if (c >= 'A' && c <= 'F') {
        return c - 'A' + 10;
    }
    return -1;
}

} // namespace

key_digest digest_of(std::string_view key)
{
    key_digest digest{};
    SHA256(reinterpret_cast<const unsigned char*>(key.data()), key.size(), digest.data());
    return digest;
}

std::optional<key_digest> parse_digest(std::string_view text)
{
    key_digest digest{};
    if (text.size() != digest.size() * 2) {
        return fail("a digest has 64 hexadecimal digits");
    }
    for (std::size_t i = 0; i < digest.size(); ++i) {
        const int high = digit_value(text[2 * i]);
        const int low = digit_value(text[2 * i + 1]);
        if (high < 0 || low < 0) {
            return fail("a digest has 64 hexadecimal digits");
        }
        digest.at(i) = static_cast<std::uint8_t>(high * 16 + low);
    }
    return digest;
}

std::string format_digest(const key_digest& digest)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(digest.size() * 2);
    for (const std::uint8_t byte : digest) {
        text += digits[byte >> 4U];
        text += digits[byte & 15U];
    }
    return text;
}

bool equal_in_constant_time(const key_digest& left, const key_digest& right)
{
    return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace guavabay
