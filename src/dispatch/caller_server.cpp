#include "dispatch/caller_server.h"

#include <charconv>

#include "log/log.h"
#include "net/http_status.h"
#include "net/spawn.h"
#include "platform/header_names.h"

namespace guavabay {

namespace {

/// Time limit for sending a response.
constexpr milliseconds write_timeout{5000};

/// Pause after a connection could not be accepted.
constexpr milliseconds accept_retry_pause{20};

/// Interval at which connections whose time is over are closed. One timer serves all connections,
/// so that a request needs none.
constexpr milliseconds expiry_interval{250};

/// A buffer without data that is larger than this is released.
constexpr std::size_t max_idle_buffer_bytes = 2048;

/// Send buffer of a connection in the system. Without a limit a client that takes no answers makes
/// the system keep megabytes for each connection.
constexpr int send_buffer_bytes = 65536;

/// Bytes that were received and not read count as the machine's memory. With more connections than
/// this, new ones get small receive buffers: 3,000 connections with 64 KiB each would exceed the
/// smallest machine's memory of 160 MB, while 256 with 64 KiB and the others with 8 KiB take 38 MB.
constexpr std::size_t max_wide_connections = 256;
constexpr int wide_receive_buffer_bytes = 65536;
constexpr int narrow_receive_buffer_bytes = 8192;

/// Reads how long the caller waits; zero if the header is missing or malformed.
milliseconds parse_timeout(const http::request<http::string_body>& request)
{
    const auto field = request.find(
        {platform::request_deadline_header.data(), platform::request_deadline_header.size()});
    std::int64_t timeout_ms = 0;
    if (field != request.end()) {
        const auto text = field->value();
        const auto [end, status] =
            std::from_chars(text.data(), text.data() + text.size(), timeout_ms);
        if (status != std::errc() || end != text.data() + text.size() || timeout_ms < 0) {
            timeout_ms = 0;
        }
    }
    return milliseconds(timeout_ms);
}

http::response<http::string_body> make_response(caller_answer&& answer, unsigned version,
                                                bool persistent)
{
    http::response<http::string_body> response;
    response.version(version);
    response.result(answer.m_status);
    if (!answer.m_body.empty()) {
        response.set(http::field::content_type, answer.m_content_type);
    }
    if (answer.m_retry_after_s > 0) {
        response.set(http::field::retry_after, std::to_string(answer.m_retry_after_s));
    }
    response.body() = std::move(answer.m_body);
    response.keep_alive(persistent);
    response.prepare_payload();
    return response;
}

/// Status to send for a request that could not be read; zero if the connection is closed, so that
/// no response can be sent.
unsigned status_for_error(const error_code& error)
{
    if (error == http::error::body_limit) {
        return http_status::too_large;
    }
    if (error == http::error::header_limit || error == http::error::buffer_overflow) {
        return http_status::header_too_large;
    }
    const bool disconnected = error == http::error::end_of_stream ||
                              error == http::error::partial_message ||
                              error.category() == asio::error::get_system_category() ||
                              error.category() == asio::error::get_misc_category();
    return disconnected ? 0 : http_status::bad_request;
}

/// Response to a request that was not handed on and whose connection is closed at once.
std::string make_closing_response(budget_reason reason)
{
    const bool timed_out =
        reason == budget_reason::header_timeout || reason == budget_reason::body_timeout;
    return timed_out ? "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n"
                       "Connection: close\r\n\r\n"
                     : "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
                       "Content-Length: 0\r\nConnection: close\r\n\r\n";
}

/// Sends a response as far as the system takes it without waiting, and closes the connection.
void close_with_response(asio::ip::tcp::socket& socket, budget_reason reason)
{
    error_code ignored;
    socket.non_blocking(true, ignored);
    socket.write_some(asio::buffer(make_closing_response(reason)), ignored);
    socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    socket.close(ignored);
}

/// Logs a refused or closed connection. The log counts lines that repeat, and there are no more
/// different ones than reasons.
void log_connection(std::string_view what, budget_reason reason)
{
    log_warning("callers: connection " + std::string(what) +
                " reason=" + std::string(to_string(reason)));
}

caller_request make_caller_request(http::request<http::string_body>&& request)
{
    caller_request received;
    received.m_method = std::string(request.method_string());
    received.m_host = std::string(request[http::field::host]);
    received.m_authorization = std::string(request[http::field::authorization]);
    received.m_path = std::string(request.target());
    received.m_timeout = parse_timeout(request);
    received.m_body = std::move(request.body());
    return received;
}

/// Counts an unreadable request as refused.
void count_unreadable(connection_budget& budget, unsigned status)
{
    if (status == http_status::too_large) {
        count_refusal(budget, budget_reason::body_size);
    }
    if (status == http_status::header_too_large) {
        count_refusal(budget, budget_reason::header_size);
    }
}

} // namespace

/// A connection of a caller, counted in the budget while it exists.
struct caller_server::open_connection : budgeted_connection {
    open_connection(asio::ip::tcp::socket&& socket, std::shared_ptr<connection_budget> budget,
                    budget_port port, std::uint64_t source)
        : m_socket(std::move(socket)), m_budget(std::move(budget))
    {
        m_port = port;
        m_source = source;
    }
    open_connection(const open_connection&) = delete;
    open_connection& operator=(const open_connection&) = delete;
    ~open_connection() override
    {
        if (is_linked()) {
            leave(*m_budget, *this);
        }
    }

    void close_socket() override
    {
        if (*m_close_reason != budget_reason::idle_timeout) {
            log_connection("closed", *m_close_reason);
        }
        const bool reading = m_state == connection_state::reading_header ||
                             m_state == connection_state::reading_body;
        error_code ignored;
        if (reading) {
            close_with_response(m_socket, *m_close_reason);
        }
        m_socket.close(ignored);
    }

    asio::ip::tcp::socket m_socket;
    std::shared_ptr<connection_budget> m_budget;
};

caller_server::caller_server(asio::io_context& context, const ip_address& address,
                             std::shared_ptr<connection_budget> budget, budget_port port,
                             request_handler handler)
    : m_context(context), m_acceptor(context, address.tcp()), m_budget(std::move(budget)),
      m_port(port), m_expiry_timer(context), m_handler(std::move(handler))
{
    // Accepted sockets inherit it.
    m_acceptor.set_option(asio::socket_base::send_buffer_size(send_buffer_bytes));
    m_acceptor.listen(asio::socket_base::max_listen_connections);
    spawn_loop(m_context, "the listener for callers", [this] { return accept(); });
    spawn_loop(m_context, "the closing of callers' connections",
               [this] { return close_expired_connections(); });
}

void caller_server::drain()
{
    m_draining = true;
}

std::size_t caller_server::open_connections() const
{
    return m_budget->m_ports.at(static_cast<std::size_t>(m_port)).m_count;
}

state_timeouts caller_server::timeouts() const
{
    // The clock of the budget may be behind by one interval.
    return {m_limits.m_idle_timeout + expiry_interval, m_limits.m_header_timeout + expiry_interval,
            m_limits.m_header_timeout + expiry_interval, milliseconds::zero(),
            write_timeout + expiry_interval};
}

asio::awaitable<void> caller_server::close_expired_connections()
{
    error_code ignored;
    while (true) {
        if (open_connections() == 0) {
            m_expiry_timer.expires_at(asio::steady_timer::time_point::max());
            co_await m_expiry_timer.async_wait(to_coroutine(ignored));
        }
        m_expiry_timer.expires_after(expiry_interval);
        co_await m_expiry_timer.async_wait(to_coroutine(ignored));
        m_budget->m_now = read_boot_clock();
        close_expired(*m_budget, m_port, timeouts());
        adapt_receive_buffers();
    }
}

asio::awaitable<void> caller_server::accept()
{
    while (true) {
        error_code error;
        asio::ip::tcp::endpoint client;
        asio::ip::tcp::socket socket =
            co_await m_acceptor.async_accept(client, to_coroutine(error));
        if (error == asio::error::operation_aborted) {
            co_return;
        }
        if (error) {
            // Without a pause a lack of descriptors would keep the processor busy.
            log_warning("callers: accept failed: " + error.message());
            asio::steady_timer timer(m_context, accept_retry_pause);
            co_await timer.async_wait(to_coroutine(error));
            continue;
        }
        add_connection(std::make_unique<open_connection>(std::move(socket), m_budget, m_port,
                                                         source_of(client.address())));
    }
}

void caller_server::adapt_receive_buffers()
{
    const bool is_crowded = open_connections() >= max_wide_connections;
    if (is_crowded == m_is_crowded) {
        return;
    }
    m_is_crowded = is_crowded;
    error_code error;
    // Accepted sockets inherit it, before their first byte arrives.
    m_acceptor.set_option(asio::socket_base::receive_buffer_size(
                              is_crowded ? narrow_receive_buffer_bytes : wide_receive_buffer_bytes),
                          error);
    if (error) {
        log_warning("callers: receive buffers not changed: " + error.message());
    }
}

void caller_server::add_connection(std::unique_ptr<open_connection> connection)
{
    m_budget->m_now = read_boot_clock();
    const bool is_first = open_connections() == 0;
    const std::optional<budget_reason> refusal = admit(*m_budget, *connection);
    if (refusal) {
        log_connection("refused", *refusal);
        close_with_response(connection->m_socket, *refusal);
        return;
    }
    spawn(m_context, "a caller's connection", serve(std::move(connection)));
    if (is_first) {
        m_expiry_timer.cancel();
    }
    adapt_receive_buffers();
}

asio::awaitable<void> caller_server::serve(std::unique_ptr<open_connection> connection)
{
    error_code error;
    asio::ip::tcp::socket& socket = connection->m_socket;
    socket.set_option(asio::ip::tcp::no_delay(true), error);
    beast::flat_buffer buffer;
    bool persistent = true;
    while (persistent) {
        request_parser parser;
        parser.eager(true);
        const std::uint32_t max_header_bytes = header_limit(*m_budget, m_limits.m_max_header_bytes);
        const std::uint64_t max_body_bytes = body_limit(*m_budget, m_limits.m_max_body_bytes);
        parser.header_limit(max_header_bytes);
        parser.body_limit(max_body_bytes);
        // Trailers and chunk extensions have to fit into the buffer.
        buffer.max_size(std::max<std::size_t>(max_header_bytes, buffer.size()));
        read_progress progress;
        error =
            co_await read_request(socket, *m_budget, *connection, buffer, parser, read_until::end,
                                  max_request_bytes(max_header_bytes, max_body_bytes), progress);
        caller_answer answer;
        unsigned version = 11;
        if (error) {
            answer.m_status = status_for_error(error);
            if (answer.m_status == 0) {
                break;
            }
            count_unreadable(*m_budget, answer.m_status);
            persistent = false;
            ++m_requests_in_flight;
        }
        else {
            ++m_requests_in_flight;
            m_last_request_at = read_boot_clock();
            version = parser.get().version();
            persistent = parser.get().keep_alive();
            caller_request request = make_caller_request(parser.release());
            enter_state(*m_budget, *connection, connection_state::handling);
            answer = co_await m_handler(std::move(request));
        }
        persistent = persistent && !m_draining;
        const auto response = make_response(std::move(answer), version, persistent);
        enter_state(*m_budget, *connection, connection_state::writing);
        if (hold(*m_budget, *connection, response.body().size() + buffer.capacity())) {
            co_await http::async_write(socket, response, to_coroutine(error));
        }
        --m_requests_in_flight;
        if (error || connection->m_close_reason) {
            break;
        }
        if (buffer.size() == 0 && buffer.capacity() > max_idle_buffer_bytes) {
            buffer.shrink_to_fit();
        }
        hold(*m_budget, *connection, 0);
        enter_state(*m_budget, *connection, connection_state::idle);
    }
    socket.shutdown(asio::ip::tcp::socket::shutdown_send, error);
}

} // namespace guavabay
