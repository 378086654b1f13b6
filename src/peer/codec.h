#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "peer/message.h"

namespace guavabay {

/// A secret shared by all entry hosts, which authenticates datagrams.
struct peer_key {
    std::uint8_t m_id = 0; ///< Sent with each datagram so that two keys can be valid at once.
    std::string m_secret;
};

/// The keys of a process: it signs with the first and accepts any.
using peer_keys = std::vector<peer_key>;

/// Largest packet that goes into one datagram, in bytes; larger ones go over TCP.
inline constexpr std::size_t max_datagram_bytes = 1400;

/// Largest packet that is accepted at all, in bytes.
inline constexpr std::size_t max_packet_bytes = 4U << 20U;

/// Encodes and signs a packet.
std::string encode_packet(const peer_packet& packet, const peer_key& key);

/// Decodes the body of a packet whose signature was checked; empty with a reason when malformed.
std::optional<peer_packet> decode_packet_body(std::string_view body);

/// Checks and decodes a packet; empty with a reason when it is foreign or malformed.
std::optional<peer_packet> decode_packet(std::string_view bytes, const peer_keys& keys);

} // namespace guavabay
