#include "core/ids.h"

#include <cstdio>

namespace guavabay {

namespace {

constexpr std::uint64_t fnv_offset = 14695981039346656037ULL;
constexpr std::uint64_t fnv_prime = 1099511628211ULL;

/// The finalizer of MurmurHash3, which spreads every input bit over the whole word.
std::uint64_t finalize(std::uint64_t value)
{
    value ^= value >> 33U;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33U;
    value *= 0xc4ceb9fe1a85ec53ULL;
    value ^= value >> 33U;
    return value;
}

} // namespace

std::string to_string(const request_id& id)
{
    char text[40];
    std::snprintf(text, sizeof text, "%016llx-%llu", static_cast<unsigned long long>(id.m_origin),
                  static_cast<unsigned long long>(id.m_sequence));
    return text;
}

std::uint64_t stable_hash(std::string_view text, std::uint64_t seed)
{
    std::uint64_t value = fnv_offset ^ seed;
    for (const char c : text) {
        value ^= static_cast<unsigned char>(c);
        value *= fnv_prime;
    }
    return finalize(value);
}

std::uint64_t mix(std::uint64_t left, std::uint64_t right)
{
    return finalize(left * fnv_prime ^ right);
}

} // namespace guavabay
