#pragma once

#include <deque>
#include <string>

#include "core/time.h"
#include "net/address.h"

namespace guavabay::test {

/// Connections from one process that send what they are told and read nothing. They stay open
/// until the object is destroyed.
class client_crowd {
public:
    /// Opens a number of connections.
    client_crowd(const ip_address& address, std::size_t count);

    /// Sends a text on each connection, then a piece again and again until a number of bytes went
    /// out. Stops earlier when no connection takes any more bytes.
    void flood(const std::string& first, const std::string& piece, std::size_t bytes_each);

    /// Sends one byte on each connection that still takes it.
    void drip(char byte);

private:
    struct client {
        asio::ip::tcp::socket m_socket;
        std::string m_waiting; ///< Bytes that are not sent yet.
        std::size_t m_sent = 0;
        bool m_failed = false;
    };

    /// Sends what a connection takes without waiting; true if it took anything.
    bool send_some(client& one, const std::string& piece, std::size_t bytes_each);

    asio::io_context m_context{1};
    std::deque<client> m_clients;
};

} // namespace guavabay::test
