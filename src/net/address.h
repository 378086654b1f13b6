#pragma once

#include <optional>
#include <string>

#include "net/asio.h"

namespace guavabay {

/// An IP number and a port.
struct ip_address {
    asio::ip::address m_ip;
    std::uint16_t m_port = 0;

    /// As a TCP endpoint of the socket library.
    [[nodiscard]] asio::ip::tcp::endpoint tcp() const { return {m_ip, m_port}; }
    /// As a UDP endpoint of the socket library.
    [[nodiscard]] asio::ip::udp::endpoint udp() const { return {m_ip, m_port}; }
};

/// Reads text such as 127.0.0.1:8080; empty with a reason when malformed.
std::optional<ip_address> parse_address(const std::string& text);

/// Number that stands for a client's address in limits: of an IPv6 address the first 64 bits count,
/// since a client commonly has all addresses that begin with them.
std::uint64_t source_of(const asio::ip::address& address);

} // namespace guavabay
