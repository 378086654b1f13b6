#include "peer/peer_link.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "core/check.h"
#include "core/result.h"
#include "log/log.h"

namespace guavabay {

namespace {

constexpr std::size_t max_large_transfers = 64;
constexpr std::chrono::seconds large_patience{5};

/// Pause after a connection could not be accepted.
constexpr std::chrono::milliseconds accept_retry_pause{50};

/// Bytes of large packets that may be incomplete at one time.
constexpr std::size_t max_large_bytes = 4 * max_packet_bytes;

/// Smallest piece in which a large packet is read. Further pieces are as large as what has arrived,
/// since the announced length alone must not make this host take memory.
constexpr std::size_t min_piece_bytes = 16384;
constexpr std::size_t max_batch = 64; ///< Datagrams taken in one go.
constexpr int socket_buffer_bytes = 1 << 20;

} // namespace

peer_link::peer_link(asio::io_context& context, const ip_address& address, peer_keys keys,
                     packet_handler handler, batch_handler after_batch)
    : m_context(context), m_socket(context, address.udp()), m_acceptor(context, address.tcp()),
      m_keys(std::move(keys)), m_handler(std::move(handler)), m_after_batch(std::move(after_batch))
{
    check(!m_keys.empty(), "a link has a key to sign with");
    m_socket.non_blocking(true);
    m_socket.set_option(asio::socket_base::receive_buffer_size(socket_buffer_bytes));
    asio::co_spawn(m_context, receive_datagrams(), asio::detached);
    asio::co_spawn(m_context, accept_connections(), asio::detached);
}

void peer_link::send(const std::string& address, const peer_packet& packet)
{
    const std::optional<ip_address> target = parse_address(address);
    if (target) {
        send_to(*target, packet);
    }
}

void peer_link::send_to(const ip_address& target, const peer_packet& packet)
{
    std::string bytes = encode_packet(packet, m_keys.front());
    if (bytes.size() > max_datagram_bytes && packet.m_messages.size() > 1) {
        const auto middle =
            packet.m_messages.begin() + static_cast<std::ptrdiff_t>(packet.m_messages.size() / 2);
        send_to(target,
                {packet.m_sender, packet.m_incarnation, {packet.m_messages.begin(), middle}});
        send_to(target, {packet.m_sender, packet.m_incarnation, {middle, packet.m_messages.end()}});
        return;
    }
    ++m_counts.m_sent_packets;
    m_counts.m_sent_bytes += bytes.size();
    if (bytes.size() <= max_datagram_bytes) {
        error_code ignored;
        m_socket.send_to(asio::buffer(bytes), target.udp(), 0, ignored);
        return;
    }
    if (m_large_open < max_large_transfers) {
        ++m_counts.m_large_packets;
        asio::co_spawn(m_context, send_large(target.tcp(), std::move(bytes)), asio::detached);
    }
}

asio::awaitable<void> peer_link::receive_datagrams()
{
    asio::ip::udp::endpoint sender;
    while (true) {
        error_code error;
        const std::size_t length = co_await m_socket.async_receive_from(
            asio::buffer(m_buffer), sender, to_coroutine(error));
        if (error == asio::error::operation_aborted) {
            co_return;
        }
        if (!error) {
            take({m_buffer.data(), length});
        }
        receive_waiting();
        m_after_batch();
    }
}

void peer_link::receive_waiting()
{
    asio::ip::udp::endpoint sender;
    error_code error;
    for (std::size_t i = 0; i < max_batch; ++i) {
        const std::size_t length = m_socket.receive_from(asio::buffer(m_buffer), sender, 0, error);
        if (error) {
            return;
        }
        take({m_buffer.data(), length});
    }
}

asio::awaitable<void> peer_link::accept_connections()
{
    while (true) {
        error_code error;
        asio::ip::tcp::socket socket = co_await m_acceptor.async_accept(to_coroutine(error));
        if (error == asio::error::operation_aborted) {
            co_return;
        }
        if (error) {
            // Without a pause a lack of descriptors would keep the processor busy.
            log_warning("peer: accept failed: " + error.message());
            asio::steady_timer pause(m_context, accept_retry_pause);
            co_await pause.async_wait(to_coroutine(error));
            continue;
        }
        if (m_large_open < max_large_transfers) {
            asio::co_spawn(m_context, receive_large(std::move(socket)), asio::detached);
        }
    }
}

asio::awaitable<void> peer_link::receive_large(asio::ip::tcp::socket socket)
{
    ++m_large_open;
    beast::tcp_stream stream(std::move(socket));
    stream.expires_after(large_patience);
    error_code error;
    std::array<unsigned char, 4> header{};
    co_await asio::async_read(stream, asio::buffer(header), to_coroutine(error));
    const std::size_t length = (std::size_t(header[0]) << 24U) | (std::size_t(header[1]) << 16U) |
                               (std::size_t(header[2]) << 8U) | std::size_t(header[3]);
    std::string bytes;
    bool complete = !error && length <= max_packet_bytes;
    while (complete && bytes.size() < length) {
        const std::size_t before = bytes.size();
        const std::size_t piece = std::min(length - before, std::max(min_piece_bytes, before));
        if (m_large_bytes + piece > max_large_bytes) {
            log_warning("peer: large packet refused, others hold the memory");
            complete = false;
            break;
        }
        m_large_bytes += piece;
        bytes.resize(before + piece);
        co_await asio::async_read(stream, asio::buffer(bytes.data() + before, piece),
                                  to_coroutine(error));
        complete = !error;
    }
    m_large_bytes -= bytes.size();
    if (complete) {
        take(bytes);
        m_after_batch();
    }
    --m_large_open;
}

asio::awaitable<void> peer_link::send_large(asio::ip::tcp::endpoint target, std::string bytes)
{
    ++m_large_open;
    beast::tcp_stream stream(m_context);
    stream.expires_after(large_patience);
    error_code error;
    co_await stream.async_connect(target, to_coroutine(error));
    if (!error) {
        const auto length = static_cast<std::uint32_t>(bytes.size());
        const std::array<unsigned char, 4> header{
            static_cast<unsigned char>(length >> 24U), static_cast<unsigned char>(length >> 16U),
            static_cast<unsigned char>(length >> 8U), static_cast<unsigned char>(length)};
        const std::array<asio::const_buffer, 2> buffers{asio::buffer(header), asio::buffer(bytes)};
        co_await asio::async_write(stream, buffers, to_coroutine(error));
    }
    --m_large_open;
}

void peer_link::take(std::string_view bytes)
{
    std::optional<peer_packet> packet = decode_packet(bytes, m_keys);
    if (!packet) {
        ++m_counts.m_rejected_packets;
        log_warning("peer: packet dropped reason=" + last_reason());
        return;
    }
    ++m_counts.m_received_packets;
    m_counts.m_received_bytes += bytes.size();
    m_handler(std::move(*packet));
}

} // namespace guavabay
