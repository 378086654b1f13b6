#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <string>

#include "net/address.h"
#include "peer/codec.h"

namespace guavabay {

/// What a link has sent, received and dropped, for the metrics.
struct peer_link_counts {
    std::uint64_t m_sent_packets = 0;
    std::uint64_t m_sent_bytes = 0;
    std::uint64_t m_received_packets = 0;
    std::uint64_t m_received_bytes = 0;
    std::uint64_t m_rejected_packets = 0; ///< Foreign, malformed, or of another version.
    std::uint64_t m_large_packets = 0;    ///< Sent over TCP.
};

/// The sockets of the inner protocol: datagrams, and TCP for packets that do not fit into one.
class peer_link {
public:
    /// Called for each valid packet on the thread of the context.
    using packet_handler = std::function<void(peer_packet&&)>;
    /// Called after the last packet of each batch.
    using batch_handler = std::function<void()>;

    /// Opens both sockets on an address. Throws boost::system::system_error when it is taken.
    peer_link(asio::io_context& context, const ip_address& address, peer_keys keys,
              packet_handler handler, batch_handler after_batch);

    /// Sends a packet, in several datagrams where one does not hold all of its messages. A packet
    /// that cannot be sent is lost, as any datagram may be.
    void send(const std::string& address, const peer_packet& packet);

    /// What the link has done so far.
    [[nodiscard]] const peer_link_counts& counts() const { return m_counts; }

private:
    asio::awaitable<void> receive_datagrams();
    asio::awaitable<void> accept_connections();
    asio::awaitable<void> receive_large(asio::ip::tcp::socket socket);
    asio::awaitable<void> send_large(asio::ip::tcp::endpoint target, std::string bytes);
    void take(std::string_view bytes);
    void receive_waiting();
    void send_to(const ip_address& target, const peer_packet& packet);

    asio::io_context& m_context;
    asio::ip::udp::socket m_socket;
    asio::ip::tcp::acceptor m_acceptor;
    peer_keys m_keys;
    packet_handler m_handler;
    batch_handler m_after_batch;
    peer_link_counts m_counts;
    std::array<char, 65536> m_buffer{};
    std::size_t m_large_open = 0;
    std::size_t m_large_bytes = 0; ///< Of packets that are not complete.
};

} // namespace guavabay
