#pragma once

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>

#include "core/time.h"
#include "net/address.h"
#include "net/connection_budget.h"
#include "peer/host_message.h"

namespace guavabay {

/// Frames of one kind of message that a host exchanged with its peers.
struct frame_counts {
    std::uint64_t m_sent = 0;
    std::uint64_t m_sent_bytes = 0;
    std::uint64_t m_received = 0;
    std::uint64_t m_received_bytes = 0;
};

/// Counts of frames by the kind of message, in the order of host_message's alternatives.
using link_traffic = std::array<frame_counts, std::variant_size_v<host_message>>;

/// Calls between entry hosts: one connection to each peer carries all calls to it, and each reply
/// names its call. Used on the thread of its context.
class host_link {
public:
    /// Handles a message and returns the reply to it; an empty result sends none. The flag tells
    /// whether the sender waits for a reply; if it does not, the result is ignored.
    using request_handler =
        std::function<asio::awaitable<std::optional<host_message>>(host_message, bool)>;

    /// Listens on an address. Connections from peers count in the budget if there is one. Throws
    /// boost::system::system_error when the address is taken.
    host_link(asio::io_context& context, const ip_address& address, request_handler handler,
              std::shared_ptr<connection_budget> budget = nullptr);

    /// Calls a peer; empty with a reason when no reply came in time. The progress tells whether
    /// the call left this host. A call fails early when its connection turns out to be silent; the
    /// next one opens another. With a maximum pause, a call whose timeout passes while a frame is
    /// arriving waits on until the frame is complete or pauses for longer.
    asio::awaitable<std::optional<host_message>>
    call(std::string address, host_message message, milliseconds timeout, bool* was_sent,
         std::optional<milliseconds> max_pause = std::nullopt);

    /// Sends a message without a reply.
    void send(const std::string& address, const host_message& message);

    /// Frames that were queued for and received from all peers so far, for the metrics.
    [[nodiscard]] const link_traffic& traffic() const { return m_traffic; }

private:
    struct outgoing;
    struct incoming;

    /// Calls of peers that are being handled.
    struct work_in_progress {
        std::size_t m_calls = 0;
        std::size_t m_bytes = 0; ///< Memory of their messages.
    };

    /// One such call; counted until this object is destroyed.
    class counted_call {
    public:
        counted_call(std::shared_ptr<work_in_progress> work, std::size_t bytes);
        counted_call(const counted_call&) = delete;
        counted_call& operator=(const counted_call&) = delete;
        ~counted_call();

    private:
        std::shared_ptr<work_in_progress> m_work;
        std::size_t m_bytes;
    };

    /// Encodes and counts a message that is about to be queued.
    std::string encode_counted(std::uint64_t number, const host_message& message);
    void count_received(const host_frame& frame);
    std::shared_ptr<outgoing> channel_to(const std::string& address);
    void enqueue(const std::shared_ptr<outgoing>& channel, std::string bytes);
    asio::awaitable<void> run_outgoing(std::shared_ptr<outgoing> channel, ip_address target);
    asio::awaitable<void> read_replies(std::shared_ptr<outgoing> channel);
    asio::awaitable<void> accept();
    /// Serves a new connection, or closes it if the budget refuses it.
    void add_connection(std::shared_ptr<incoming> connection);
    asio::awaitable<void> serve(std::shared_ptr<incoming> shared);
    /// Waits until another call of a peer may be handled, given the memory that it takes. Until
    /// then nothing more is read from the peer.
    asio::awaitable<void> wait_for_room(std::shared_ptr<incoming> shared, std::size_t memory);
    asio::awaitable<void> answer(std::shared_ptr<incoming> shared, host_frame frame);
    /// Number of connections to peers that are kept at one time.
    [[nodiscard]] std::size_t max_channels() const;
    /// Closes the connection to a peer that was used least recently, if no call waits on it. False
    /// if there is none.
    bool close_unused_channel();

    asio::io_context& m_context;
    asio::ip::tcp::acceptor m_acceptor;
    request_handler m_handler;
    std::shared_ptr<connection_budget> m_budget; ///< Outlives this: connections leave it later.
    std::map<std::string, std::shared_ptr<outgoing>> m_channels;
    std::uint64_t m_next_number = 1;
    std::shared_ptr<work_in_progress> m_work; ///< Outlives this: calls leave it later.
    link_traffic m_traffic{};
};

} // namespace guavabay
