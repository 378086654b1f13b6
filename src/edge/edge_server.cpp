#include "edge/edge_server.h"

#include <sstream>

#include "log/log.h"

namespace guavabay {

namespace {

constexpr milliseconds drain_poll{20};
constexpr seconds tend_interval{1};
constexpr milliseconds accept_retry{50};
constexpr std::size_t first_read_bytes = 4096;
constexpr std::size_t read_ahead_bytes = 64U << 10U;

/// The error kind for a request that could not be read; empty when the connection just ended.
std::optional<error_kind> kind_of_read_error(const error_code& error)
{
    if (error == http::error::end_of_stream || error == asio::error::eof ||
        error == asio::error::connection_reset || error == asio::error::operation_aborted ||
        error == beast::error::timeout || error == http::error::partial_message) {
        return std::nullopt;
    }
    if (error == http::error::body_limit || error == http::error::header_limit ||
        error == http::error::buffer_overflow) {
        return error_kind::request_too_large;
    }
    return error_kind::bad_request;
}

/// Counts something for as long as it lives.
class counted {
public:
    /// Adds one to a count.
    explicit counted(std::size_t& count) : m_count(count) { ++m_count; }
    ~counted() { --m_count; }
    counted(const counted&) = delete;
    counted& operator=(const counted&) = delete;

private:
    std::size_t& m_count;
};

} // namespace

/// A caller's connection, counted in the budget while it exists.
struct edge_server::open_connection : budgeted_connection {
    open_connection(asio::ip::tcp::socket&& socket, std::shared_ptr<connection_budget> budget)
        : m_stream(std::move(socket)), m_budget(std::move(budget))
    {
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
        log_warning("edge: connection closed reason=" + std::string(to_string(*m_close_reason)));
        error_code ignored;
        if (m_state == connection_state::reading_header ||
            m_state == connection_state::reading_body) {
            string_response response = make_error_answer(error_kind::overloaded, {});
            response.keep_alive(false);
            std::ostringstream text;
            text << response;
            m_stream.socket().non_blocking(true, ignored);
            m_stream.socket().write_some(asio::buffer(text.str()), ignored);
        }
        m_stream.close();
    }

    beast::tcp_stream m_stream;
    std::shared_ptr<connection_budget> m_budget;
};

edge_server::edge_server(asio::io_context& context, const ip_address& address,
                         const edge_limits& limits, request_flow& flow, shared_state& shared,
                         std::function<void()> on_idle)
    : m_context(context), m_acceptor(context, address.tcp()), m_limits(limits), m_flow(flow),
      m_shared(shared), m_on_idle(std::move(on_idle)),
      m_budget(std::make_shared<connection_budget>())
{
    m_budget->m_limits.m_max_bytes = m_limits.m_max_held_bytes;
    m_budget->m_limits.m_ports.front() = {m_limits.m_max_connections,
                                          per_address_limit(m_limits.m_max_connections)};
    m_budget->m_now = read_clock();
    asio::co_spawn(m_context, accept(), asio::detached);
    asio::co_spawn(m_context, tend(), asio::detached);
}

void edge_server::stop()
{
    if (!m_stopping) {
        m_stopping = true;
        asio::co_spawn(m_context, drain(), asio::detached);
    }
}

asio::awaitable<void> edge_server::accept()
{
    asio::steady_timer pause(m_context);
    while (m_acceptor.is_open()) {
        error_code error;
        asio::ip::tcp::endpoint client;
        asio::ip::tcp::socket socket =
            co_await m_acceptor.async_accept(client, to_coroutine(error));
        if (error == asio::error::operation_aborted) {
            co_return;
        }
        if (error) {
            pause.expires_after(accept_retry);
            co_await pause.async_wait(to_coroutine(error));
            continue;
        }
        auto connection = std::make_unique<open_connection>(std::move(socket), m_budget);
        connection->m_source = source_of(client.address());
        if (admit(*m_budget, *connection)) {
            asio::co_spawn(m_context, refuse_connection(connection->m_stream.release_socket()),
                           asio::detached);
        }
        else {
            asio::co_spawn(m_context, serve_connection(std::move(connection)), asio::detached);
        }
    }
}

asio::awaitable<void> edge_server::refuse_connection(asio::ip::tcp::socket socket)
{
    beast::tcp_stream stream(std::move(socket));
    stream.expires_after(seconds(1));
    string_response response = make_error_answer(error_kind::overloaded, {});
    response.keep_alive(false);
    error_code ignored;
    co_await http::async_write(stream, response, to_coroutine(ignored));
    stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

asio::awaitable<void> edge_server::serve_connection(std::unique_ptr<open_connection> connection)
{
    beast::tcp_stream& stream = connection->m_stream;
    error_code error;
    stream.socket().set_option(asio::ip::tcp::no_delay(true), error);
    beast::flat_buffer buffer(m_limits.m_max_header_bytes + read_ahead_bytes);
    bool open = !m_closing;
    while (open) {
        if (buffer.size() == 0) {
            enter_state(*m_budget, *connection, connection_state::idle);
            stream.expires_after(m_limits.m_idle_patience);
            const std::size_t length = co_await stream.async_read_some(
                buffer.prepare(first_read_bytes), to_coroutine(error));
            buffer.commit(length);
            if (error || connection->m_close_reason) {
                break;
            }
        }
        enter_state(*m_budget, *connection, connection_state::reading_header);
        open = co_await serve_one(*connection, buffer);
        open = open && !connection->m_close_reason;
    }
    stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, error);
}

void edge_server::close_idle()
{
    auto& connections = m_budget->m_ports.front().m_connections;
    for (budgeted_connection& one :
         connections.at(static_cast<std::size_t>(connection_state::idle))) {
        static_cast<open_connection&>(one).m_stream.cancel();
    }
}

asio::awaitable<error_code> edge_server::read_whole(open_connection& connection,
                                                    beast::flat_buffer& buffer,
                                                    request_parser& parser)
{
    const std::uint64_t max_bytes =
        max_request_bytes(m_limits.m_max_header_bytes, m_limits.m_max_body_bytes);
    read_progress progress;
    beast::tcp_stream& stream = connection.m_stream;
    stream.expires_after(m_limits.m_header_patience);
    error_code error = co_await read_request(stream, *m_budget, connection, buffer, parser,
                                             read_until::header, max_bytes, progress);
    const bool invited =
        !error && beast::iequals(parser.get()[http::field::expect], "100-continue");
    if (invited) {
        const http::response<http::empty_body> go_on(http::status::continue_, 11);
        co_await http::async_write(stream, go_on, to_coroutine(error));
    }
    if (!error && !parser.is_done()) {
        stream.expires_after(m_limits.m_body_patience);
        error = co_await read_request(stream, *m_budget, connection, buffer, parser,
                                      read_until::end, max_bytes, progress);
    }
    co_return connection.m_close_reason ? asio::error::operation_aborted : error;
}

asio::awaitable<bool> edge_server::serve_one(open_connection& connection,
                                             beast::flat_buffer& buffer)
{
    const counted active(m_active);
    request_parser parser;
    parser.header_limit(m_limits.m_max_header_bytes);
    parser.body_limit(m_limits.m_max_body_bytes);
    beast::tcp_stream& stream = connection.m_stream;
    error_code error = co_await read_whole(connection, buffer, parser);
    string_response response;
    bool keep = false;
    if (error) {
        const std::optional<error_kind> kind = kind_of_read_error(error);
        if (!kind) {
            co_return false;
        }
        response = make_error_answer(*kind, {}, error.message());
    }
    else {
        http::request<http::string_body> request = parser.release();
        keep = request.keep_alive();
        const bool head = request.method() == http::verb::head;
        enter_state(*m_budget, connection, connection_state::handling);
        stream.expires_never();
        response = co_await answer_to(std::move(request));
        if (head) {
            const std::uint64_t length = response.body().size();
            response.body().clear();
            if (length > 0) {
                response.content_length(length);
            }
        }
    }
    keep = keep && !m_stopping;
    response.version(11);
    response.keep_alive(keep);
    enter_state(*m_budget, connection, connection_state::writing);
    if (!hold(*m_budget, connection, response.body().size())) {
        co_return false;
    }
    stream.expires_after(m_limits.m_write_patience);
    co_await http::async_write(stream, response, to_coroutine(error));
    hold(*m_budget, connection, 0);
    co_return keep && !error;
}

asio::awaitable<string_response> edge_server::answer_to(http::request<http::string_body> request)
{
    if (request.target() == "/-/live") {
        co_return make_answer(http::status::ok, "text/plain", "live\n");
    }
    if (request.target() == "/-/ready") {
        const bool fresh =
            m_shared.m_fresh_until_us.load() > read_clock().time_since_epoch().count();
        const bool ready = m_shared.m_ready.load() && fresh && !m_stopping;
        co_return ready
            ? make_answer(http::status::ok, "text/plain", "ready\n")
            : make_error_answer(m_stopping ? error_kind::stopping : error_kind::not_ready, {});
    }
    if (m_closing) {
        co_return make_error_answer(error_kind::stopping, {});
    }
    string_response response = co_await m_flow.serve(std::move(request));
    response.erase(http::field::connection);
    response.erase(http::field::keep_alive);
    response.erase(http::field::transfer_encoding);
    const bool bodyless = response.result() == http::status::no_content ||
                          response.result() == http::status::not_modified;
    if (!bodyless && !response.has_content_length()) {
        response.content_length(response.body().size());
    }
    co_return response;
}

asio::awaitable<void> edge_server::drain()
{
    asio::steady_timer timer(m_context);
    error_code ignored;
    timer.expires_after(m_limits.m_drain_time);
    co_await timer.async_wait(to_coroutine(ignored));
    m_closing = true;
    m_acceptor.close(ignored);
    close_idle();
    const time_point limit = read_clock() + m_limits.m_stop_limit;
    while (m_active > 0 && read_clock() < limit) {
        timer.expires_after(drain_poll);
        co_await timer.async_wait(to_coroutine(ignored));
    }
    if (m_active > 0) {
        log_error("edge: stop limit reached cut_off=" + std::to_string(m_active));
    }
    m_on_idle();
}

asio::awaitable<void> edge_server::tend()
{
    asio::steady_timer timer(m_context);
    while (true) {
        timer.expires_after(tend_interval);
        error_code ignored;
        co_await timer.async_wait(to_coroutine(ignored));
        m_budget->m_now = read_clock();
        m_flow.tend(m_budget->m_now);
    }
}

} // namespace guavabay
