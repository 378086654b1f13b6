#include "peer/host_link.h"

#include <cstring>

#include "core/result.h"
#include "log/log.h"
#include "net/spawn.h"

namespace guavabay {

namespace {

/// Longest wait for a connection to a peer in the same or another zone.
constexpr milliseconds connect_time{500};

/// Pause after a connection could not be accepted.
constexpr milliseconds accept_retry_pause{20};

/// Bytes that may wait for a peer that does not read.
constexpr std::size_t max_waiting_bytes = 16U << 20U;

/// Longest time in which a write to a peer may make no progress.
constexpr milliseconds max_write_pause{2000};

/// A connection on which nothing comes back for the first time while a call waits is probed with a
/// question that a peer answers at once, and given up when nothing comes back for the second.
constexpr milliseconds probe_delay{600};
constexpr milliseconds probe_timeout{700};

/// Smallest size of the pieces in which a frame is read. Larger frames are read in pieces as large
/// as what has arrived, since the announced length alone must not make this host take memory.
constexpr std::size_t min_read_bytes = 16384;

/// From this size on a frame's buffer is reserved in whole, so that it is not copied as it grows.
/// The system gives memory only to the part that is filled.
constexpr std::size_t min_reserved_bytes = 262144;

/// Calls of peers that are handled at one time. Further ones wait in their connections.
constexpr std::size_t max_calls_in_work = 2048;

/// Share of the budget's memory for the messages of these calls. A message that is larger is
/// handled alone.
constexpr std::size_t work_memory_divisor = 4;

/// Interval at which a connection looks for room for its next call.
constexpr milliseconds room_poll_interval{5};

/// Connections to peers, as a multiple of those from peers, and how many there may always be.
constexpr std::size_t channel_factor = 2;
constexpr std::size_t min_channels = 16;

/// Limits of the budget that is used where none is given.
constexpr std::size_t default_memory_mb = 160;
constexpr std::size_t default_descriptors = 4100;

/// Called when bytes have been received; false if the connection has to end.
using progress_check = std::function<bool(std::size_t)>;

/// Bytes of a connection that were received and not decoded yet.
struct receive_buffer {
    std::string m_bytes;
    std::size_t m_incomplete_bytes = 0; ///< Of a frame of which more is to come.
    time_point m_last_received_at{};
};

/// Reads one frame; empty when the connection ended or the frame is malformed. The check, if there
/// is one, is told the bytes of incomplete frames.
asio::awaitable<std::optional<host_frame>>
read_frame(asio::ip::tcp::socket& socket, receive_buffer& received, const progress_check& may_go_on)
{
    std::string& buffer = received.m_bytes;
    error_code error;
    std::uint32_t length = 0;
    while (true) {
        if (buffer.size() >= sizeof length) {
            std::memcpy(&length, buffer.data(), sizeof length);
            if (length > max_frame_bytes) {
                log_warning("peer: a frame is too large");
                co_return std::nullopt;
            }
            if (buffer.size() >= sizeof length + length) {
                break;
            }
        }
        const std::size_t before = buffer.size();
        received.m_incomplete_bytes = before;
        if (before >= min_reserved_bytes) {
            buffer.reserve(sizeof length + length);
        }
        const std::size_t missing = sizeof length + length - before;
        const std::size_t wanted =
            std::max(min_read_bytes, std::min(missing, std::max(min_read_bytes, before)));
        buffer.resize(before + wanted);
        const std::size_t got = co_await socket.async_read_some(
            asio::buffer(buffer.data() + before, wanted), to_coroutine(error));
        buffer.resize(before + (error ? 0 : got));
        received.m_last_received_at = read_boot_clock();
        if (error || (may_go_on && !may_go_on(buffer.size()))) {
            co_return std::nullopt;
        }
    }
    std::optional<host_frame> frame =
        decode_frame(std::string_view(buffer).substr(sizeof length, length));
    buffer.erase(0, sizeof length + length);
    if (!frame) {
        log_warning("peer: " + last_reason());
    }
    co_return frame;
}

} // namespace

/// A connection to a peer with the calls that wait for replies.
struct host_link::outgoing {
    explicit outgoing(asio::io_context& context) : m_socket(context), m_wake(context) {}

    struct waiting_call {
        asio::steady_timer* m_timer = nullptr;
        std::optional<host_message> m_reply;
        bool m_sent = false;
        bool m_failed = false;
    };

    /// True while a frame is arriving with no pause longer than the given one.
    [[nodiscard]] bool is_receiving(milliseconds max_pause) const
    {
        return m_received.m_incomplete_bytes > 0 &&
               read_boot_clock() - m_received.m_last_received_at < max_pause;
    }

    /// Closes the connection. All calls that wait on it fail.
    void give_up()
    {
        m_over = true;
        error_code ignored;
        m_socket.close(ignored);
        m_wake.cancel();
    }

    void fail_all()
    {
        for (auto& [number, call] : m_calls) {
            call->m_failed = true;
            call->m_timer->cancel();
        }
        m_calls.clear();
    }

    std::string m_address;
    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_wake;
    receive_buffer m_received;
    std::deque<std::string> m_queue;
    std::size_t m_queue_bytes = 0;
    std::map<std::uint64_t, waiting_call*> m_calls;
    bool m_connected = false;
    bool m_over = false;
    std::size_t m_timeouts_in_row = 0;
    time_point m_used_at{}; ///< When a message was last queued.
};

/// A connection of a peer, counted in the budget while it exists. Shared by its calls, which may be
/// answered out of order.
struct host_link::incoming : budgeted_connection {
    incoming(asio::ip::tcp::socket&& taken, std::shared_ptr<connection_budget> budget,
             std::uint64_t source)
        : m_socket(std::move(taken)), m_budget(std::move(budget))
    {
        m_port = budget_port::peers;
        m_source = source;
    }
    incoming(const incoming&) = delete;
    incoming& operator=(const incoming&) = delete;
    ~incoming() override
    {
        if (is_linked()) {
            leave(*m_budget, *this);
        }
    }

    void close_socket() override
    {
        log_warning("peer: connection closed reason=" + std::string(to_string(*m_close_reason)));
        error_code ignored;
        m_socket.close(ignored);
    }

    /// Counts what is received and what waits to be sent. False if the connection was closed.
    bool count_bytes()
    {
        const std::size_t bytes = m_received_bytes + m_waiting.size() + m_sending_bytes;
        const connection_state state = m_writing   ? connection_state::writing
                                       : bytes > 0 ? connection_state::reading_body
                                                   : connection_state::idle;
        if (state != m_state) {
            enter_state(*m_budget, *this, state);
        }
        return hold(*m_budget, *this, bytes);
    }

    asio::ip::tcp::socket m_socket;
    std::shared_ptr<connection_budget> m_budget;
    std::string m_waiting;
    std::size_t m_received_bytes = 0; ///< Of incomplete frames.
    std::size_t m_sending_bytes = 0;
    bool m_writing = false;
};

host_link::counted_call::counted_call(std::shared_ptr<work_in_progress> work, std::size_t bytes)
    : m_work(std::move(work)), m_bytes(bytes)
{
    ++m_work->m_calls;
    m_work->m_bytes += m_bytes;
}

host_link::counted_call::~counted_call()
{
    --m_work->m_calls;
    m_work->m_bytes -= m_bytes;
}

host_link::host_link(asio::io_context& context, const ip_address& address, request_handler handler,
                     std::shared_ptr<connection_budget> budget)
    : m_context(context), m_acceptor(context, address.tcp()), m_handler(std::move(handler)),
      m_budget(std::move(budget)), m_work(std::make_shared<work_in_progress>())
{
    if (!m_budget) {
        m_budget = std::make_shared<connection_budget>();
        m_budget->m_limits = derive_budget_limits(default_memory_mb, default_descriptors);
    }
    spawn_loop(m_context, "the listener for peers", [this] { return accept(); });
}

std::string host_link::encode_counted(std::uint64_t number, const host_message& message)
{
    std::string bytes = encode_frame(number, message);
    frame_counts& counts = m_traffic.at(message.index());
    ++counts.m_sent;
    counts.m_sent_bytes += bytes.size();
    return bytes;
}

void host_link::count_received(const host_frame& frame)
{
    frame_counts& counts = m_traffic.at(frame.m_message.index());
    ++counts.m_received;
    counts.m_received_bytes += frame.m_bytes;
}

std::size_t host_link::max_channels() const
{
    const port_limits& limits =
        m_budget->m_limits.m_ports.at(static_cast<std::size_t>(budget_port::peers));
    return std::max(min_channels, channel_factor * limits.m_connections);
}

bool host_link::close_unused_channel()
{
    std::shared_ptr<outgoing> oldest;
    for (const auto& [address, channel] : m_channels) {
        const bool is_unused = channel->m_calls.empty() && !channel->m_over;
        if (is_unused && (!oldest || channel->m_used_at < oldest->m_used_at)) {
            oldest = channel;
        }
    }
    if (!oldest) {
        return false;
    }
    m_channels.erase(oldest->m_address);
    oldest->give_up();
    return true;
}

std::shared_ptr<host_link::outgoing> host_link::channel_to(const std::string& address)
{
    const auto found = m_channels.find(address);
    if (found != m_channels.end() && !found->second->m_over) {
        return found->second;
    }
    const std::optional<ip_address> target = parse_address(address);
    if (!target || (m_channels.size() >= max_channels() && !close_unused_channel())) {
        return nullptr;
    }
    auto channel = std::make_shared<outgoing>(m_context);
    channel->m_address = address;
    m_channels[address] = channel;
    spawn(m_context, "a connection to a peer", run_outgoing(channel, *target));
    return channel;
}

void host_link::enqueue(const std::shared_ptr<outgoing>& channel, std::string bytes)
{
    channel->m_used_at = read_boot_clock();
    channel->m_queue_bytes += bytes.size();
    channel->m_queue.push_back(std::move(bytes));
    channel->m_wake.cancel();
}

asio::awaitable<void> host_link::run_outgoing(std::shared_ptr<outgoing> channel, ip_address target)
{
    error_code error;
    asio::steady_timer limit(m_context, connect_time);
    limit.async_wait([channel](const error_code& stopped) {
        if (!stopped && !channel->m_connected) {
            error_code ignored;
            channel->m_socket.close(ignored);
        }
    });
    co_await channel->m_socket.async_connect(target.tcp(), to_coroutine(error));
    limit.cancel();
    if (!error) {
        channel->m_connected = true;
        channel->m_socket.set_option(asio::ip::tcp::no_delay(true), error);
        spawn(m_context, "replies of a peer", read_replies(channel));
        while (!channel->m_over) {
            if (channel->m_queue.empty()) {
                channel->m_wake.expires_at(asio::steady_timer::time_point::max());
                co_await channel->m_wake.async_wait(to_coroutine(error));
                continue;
            }
            std::string bytes;
            while (!channel->m_queue.empty()) {
                bytes += channel->m_queue.front();
                channel->m_queue.pop_front();
            }
            for (auto& [number, call] : channel->m_calls) {
                call->m_sent = true;
            }
            channel->m_queue_bytes = bytes.size();
            asio::steady_timer write_limit(m_context);
            std::size_t written = 0;
            error.clear();
            while (written < bytes.size() && !error) {
                write_limit.expires_after(max_write_pause);
                write_limit.async_wait([channel](const error_code& stopped) {
                    if (!stopped) {
                        error_code ignored;
                        channel->m_socket.close(ignored);
                    }
                });
                const std::size_t count = co_await channel->m_socket.async_write_some(
                    asio::buffer(bytes.data() + written, bytes.size() - written),
                    to_coroutine(error));
                written += count;
            }
            write_limit.cancel();
            channel->m_queue_bytes = 0;
            if (error) {
                break;
            }
        }
    }
    channel->m_over = true;
    error_code ignored;
    channel->m_socket.close(ignored);
    channel->fail_all();
    const auto found = m_channels.find(channel->m_address);
    if (found != m_channels.end() && found->second == channel) {
        m_channels.erase(found);
    }
}

asio::awaitable<void> host_link::read_replies(std::shared_ptr<outgoing> channel)
{
    const progress_check unchecked;
    while (true) {
        std::optional<host_frame> frame =
            co_await read_frame(channel->m_socket, channel->m_received, unchecked);
        if (!frame) {
            break;
        }
        count_received(*frame);
        channel->m_timeouts_in_row = 0;
        const auto found = channel->m_calls.find(frame->m_number);
        if (found == channel->m_calls.end()) {
            continue;
        }
        found->second->m_reply = std::move(frame->m_message);
        found->second->m_timer->cancel();
        channel->m_calls.erase(found);
    }
    channel->m_over = true;
    channel->m_wake.cancel();
}

asio::awaitable<std::optional<host_message>> host_link::call(std::string address,
                                                             host_message message,
                                                             milliseconds timeout, bool* was_sent,
                                                             std::optional<milliseconds> max_pause)
{
    const std::shared_ptr<outgoing> channel = channel_to(address);
    if (was_sent != nullptr) {
        *was_sent = false;
    }
    if (!channel || channel->m_queue_bytes > max_waiting_bytes) {
        co_return fail("no connection to " + address);
    }
    const std::uint64_t number = m_next_number++;
    const time_point started_at = read_boot_clock();
    const asio::steady_timer::time_point deadline = asio::steady_timer::clock_type::now() + timeout;
    asio::steady_timer timer(m_context, std::min(timeout, probe_delay));
    outgoing::waiting_call waiting;
    waiting.m_timer = &timer;
    channel->m_calls[number] = &waiting;
    enqueue(channel, encode_counted(number, message));
    error_code error;
    co_await timer.async_wait(to_coroutine(error));
    const auto is_silent = [&] {
        return !waiting.m_reply && !waiting.m_failed && channel->m_connected &&
               channel->m_queue_bytes == 0 && channel->m_received.m_last_received_at < started_at;
    };
    if (timeout > probe_delay + probe_timeout && is_silent()) {
        enqueue(channel, encode_counted(m_next_number++, host_message(store_status_request{})));
        timer.expires_after(probe_timeout);
        co_await timer.async_wait(to_coroutine(error));
        if (is_silent()) {
            log_info("peer: connection is silent and is given up peer=" + address);
            if (was_sent != nullptr) {
                *was_sent = waiting.m_sent;
            }
            channel->m_calls.erase(number);
            channel->give_up();
            co_return fail("the connection to " + address + " is silent");
        }
    }
    if (!waiting.m_reply && !waiting.m_failed) {
        timer.expires_at(deadline);
        co_await timer.async_wait(to_coroutine(error));
    }
    while (max_pause && !waiting.m_reply && !waiting.m_failed &&
           channel->is_receiving(*max_pause)) {
        timer.expires_after(*max_pause);
        co_await timer.async_wait(to_coroutine(error));
    }
    if (was_sent != nullptr) {
        *was_sent = waiting.m_sent;
    }
    if (waiting.m_reply) {
        co_return std::move(waiting.m_reply);
    }
    if (!waiting.m_failed) {
        channel->m_calls.erase(number);
        // A connection on which nothing comes back any more is given up.
        constexpr std::size_t max_timeouts_in_row = 2;
        if (++channel->m_timeouts_in_row >= max_timeouts_in_row) {
            channel->give_up();
        }
    }
    co_return fail("no reply from " + address);
}

void host_link::send(const std::string& address, const host_message& message)
{
    const std::shared_ptr<outgoing> channel = channel_to(address);
    if (channel && channel->m_queue_bytes <= max_waiting_bytes) {
        enqueue(channel, encode_counted(0, message));
    }
}

asio::awaitable<void> host_link::accept()
{
    while (true) {
        error_code error;
        asio::ip::tcp::endpoint peer;
        asio::ip::tcp::socket socket = co_await m_acceptor.async_accept(peer, to_coroutine(error));
        if (error == asio::error::operation_aborted) {
            co_return;
        }
        if (error) {
            // Without a pause a lack of descriptors would keep the processor busy.
            log_warning("peer: accept failed: " + error.message());
            asio::steady_timer timer(m_context, accept_retry_pause);
            co_await timer.async_wait(to_coroutine(error));
            continue;
        }
        add_connection(
            std::make_shared<incoming>(std::move(socket), m_budget, source_of(peer.address())));
    }
}

void host_link::add_connection(std::shared_ptr<incoming> connection)
{
    m_budget->m_now = read_boot_clock();
    const std::optional<budget_reason> refusal = admit(*m_budget, *connection);
    if (refusal) {
        log_warning("peer: connection refused reason=" + std::string(to_string(*refusal)));
        return;
    }
    spawn(m_context, "a peer's connection", serve(std::move(connection)));
}

asio::awaitable<void> host_link::serve(std::shared_ptr<incoming> shared)
{
    error_code error;
    shared->m_socket.set_option(asio::ip::tcp::no_delay(true), error);
    receive_buffer received;
    const progress_check may_go_on = [&shared](std::size_t bytes) {
        shared->m_received_bytes = bytes;
        return shared->count_bytes();
    };
    while (true) {
        std::optional<host_frame> frame =
            co_await read_frame(shared->m_socket, received, may_go_on);
        if (!frame) {
            co_return;
        }
        count_received(*frame);
        // The buffer of a large frame would otherwise stay beside its message.
        if (received.m_bytes.capacity() > min_reserved_bytes) {
            received.m_bytes.shrink_to_fit();
        }
        shared->m_received_bytes = received.m_bytes.size() + frame->m_memory;
        shared->count_bytes();
        co_await wait_for_room(shared, frame->m_memory);
        shared->m_received_bytes = received.m_bytes.size();
        if (!shared->count_bytes()) {
            co_return;
        }
        spawn(m_context, "an answer to a peer", answer(shared, std::move(*frame)));
    }
}

asio::awaitable<void> host_link::wait_for_room(std::shared_ptr<incoming> shared, std::size_t memory)
{
    const std::size_t max_bytes = m_budget->m_limits.m_max_bytes / work_memory_divisor;
    const auto has_room = [&] {
        return m_work->m_calls < max_calls_in_work &&
               (m_work->m_bytes == 0 || m_work->m_bytes + memory <= max_bytes);
    };
    asio::steady_timer timer(m_context);
    while (!has_room() && !shared->m_close_reason) {
        timer.expires_after(room_poll_interval);
        error_code ignored;
        co_await timer.async_wait(to_coroutine(ignored));
    }
}

asio::awaitable<void> host_link::answer(std::shared_ptr<incoming> shared, host_frame frame)
{
    const std::uint64_t number = frame.m_number;
    const counted_call counted(m_work, frame.m_memory);
    std::optional<host_message> reply = co_await m_handler(std::move(frame.m_message), number != 0);
    if (!reply || number == 0 || shared->m_close_reason) {
        co_return;
    }
    shared->m_waiting += encode_counted(number, *reply);
    if (!shared->count_bytes() || shared->m_writing) {
        co_return;
    }
    shared->m_writing = true;
    while (!shared->m_waiting.empty()) {
        const std::string bytes = std::move(shared->m_waiting);
        shared->m_waiting.clear();
        shared->m_sending_bytes = bytes.size();
        error_code failed;
        co_await asio::async_write(shared->m_socket, asio::buffer(bytes), to_coroutine(failed));
        if (failed) {
            shared->m_waiting.clear();
            shared->m_socket.close(failed);
        }
    }
    shared->m_sending_bytes = 0;
    shared->m_writing = false;
    shared->count_bytes();
}

} // namespace guavabay
