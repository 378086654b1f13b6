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

/// Status to send for a request that could not be read; zero if the connection is closed or timed
/// out, so that no response can be sent.
unsigned status_for_error(const error_code& error)
{
    if (error == http::error::body_limit) {
        return http_status::too_large;
    }
    if (error == http::error::header_limit || error == http::error::buffer_overflow) {
        return http_status::header_too_large;
    }
    const bool disconnected =
        error == http::error::end_of_stream || error == http::error::partial_message ||
        error == beast::error::timeout || error.category() == asio::error::get_system_category() ||
        error.category() == asio::error::get_misc_category();
    return disconnected ? 0 : http_status::bad_request;
}

} // namespace

caller_server::caller_server(asio::io_context& context, const ip_address& address,
                             request_handler handler)
    : m_context(context), m_acceptor(context, address.tcp()), m_handler(std::move(handler))
{
    m_acceptor.listen(asio::socket_base::max_listen_connections);
    spawn_loop(m_context, "the listener for callers", [this] { return accept(); });
}

void caller_server::drain()
{
    m_draining = true;
}

asio::awaitable<void> caller_server::accept()
{
    while (true) {
        error_code error;
        asio::ip::tcp::socket socket = co_await m_acceptor.async_accept(to_coroutine(error));
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
        spawn(m_context, "a caller's connection", serve(std::move(socket)));
    }
}

asio::awaitable<void> caller_server::serve(asio::ip::tcp::socket socket)
{
    ++m_open_connections;
    error_code error;
    socket.set_option(asio::ip::tcp::no_delay(true), error);
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    bool persistent = true;
    while (persistent) {
        http::request_parser<http::string_body> parser;
        parser.header_limit(m_limits.m_max_header_bytes);
        parser.body_limit(m_limits.m_max_body_bytes);
        stream.expires_after(m_limits.m_idle_timeout);
        co_await http::async_read_header(stream, buffer, parser, to_coroutine(error));
        if (!error) {
            stream.expires_after(m_limits.m_header_timeout);
            co_await http::async_read(stream, buffer, parser, to_coroutine(error));
        }
        caller_answer answer;
        unsigned version = 11;
        if (error) {
            answer.m_status = status_for_error(error);
            if (answer.m_status == 0) {
                break;
            }
            persistent = false;
            ++m_requests_in_flight;
        }
        else {
            ++m_requests_in_flight;
            m_last_request_at = read_boot_clock();
            const http::request<http::string_body>& request = parser.get();
            version = request.version();
            persistent = request.keep_alive();
            caller_request received;
            received.m_method = std::string(request.method_string());
            received.m_host = std::string(request[http::field::host]);
            received.m_authorization = std::string(request[http::field::authorization]);
            received.m_path = std::string(request.target());
            received.m_timeout = parse_timeout(request);
            received.m_body = std::move(parser.get().body());
            stream.expires_never();
            answer = co_await m_handler(std::move(received));
        }
        persistent = persistent && !m_draining;
        const auto response = make_response(std::move(answer), version, persistent);
        stream.expires_after(write_timeout);
        co_await http::async_write(stream, response, to_coroutine(error));
        --m_requests_in_flight;
        if (error) {
            break;
        }
    }
    stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, error);
    --m_open_connections;
}

} // namespace guavabay
