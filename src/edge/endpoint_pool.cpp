#include "edge/endpoint_pool.h"

#include <algorithm>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <utility>

namespace guavabay {

namespace {

constexpr milliseconds connect_patience{1000};
constexpr milliseconds continue_patience{1000}; ///< Wait for the endpoint to ask for the body.
constexpr milliseconds write_patience{5000};
constexpr seconds idle_limit{10};
constexpr seconds peak_period{10}; ///< Connections in use are counted over two of these.
constexpr unsigned unacknowledged_limit_ms = 1500; ///< Sent bytes without an acknowledgement.

void set_options(beast::tcp_stream& stream)
{
    error_code ignored;
    stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    const unsigned limit = unacknowledged_limit_ms;
    setsockopt(stream.socket().native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &limit,
               sizeof limit);
}

exchange_end end_of_failed_read(const error_code& error, bool answer_begun, bool patience_over)
{
    if (answer_begun) {
        return exchange_end::truncated;
    }
    if (error == beast::error::timeout) {
        return patience_over ? exchange_end::silent : exchange_end::timed_out;
    }
    return exchange_end::lost;
}

asio::awaitable<void> read_answer(beast::tcp_stream& stream, beast::flat_buffer& buffer,
                                  std::uint64_t max_bytes, bool head, bool patience_shorter,
                                  endpoint_answer& answer)
{
    error_code error;
    http::response_parser<http::string_body> parser;
    parser.body_limit(max_bytes);
    parser.skip(head);
    co_await http::async_read_header(stream, buffer, parser, to_coroutine(error));
    if (error) {
        answer.m_end = end_of_failed_read(error, parser.got_some(), patience_shorter);
        co_return;
    }
    if (parser.need_eof() && !head) {
        answer.m_end = exchange_end::truncated;
        co_return;
    }
    co_await http::async_read(stream, buffer, parser, to_coroutine(error));
    if (error == http::error::body_limit) {
        answer.m_end = exchange_end::too_large;
        co_return;
    }
    if (error) {
        answer.m_end = exchange_end::truncated;
        co_return;
    }
    answer.m_end = exchange_end::answered;
    answer.m_response = parser.release();
}

} // namespace

endpoint_pool::endpoint_pool(asio::io_context& context, std::uint64_t max_answer_bytes)
    : m_context(context), m_max_answer_bytes(max_answer_bytes)
{
}

asio::awaitable<std::unique_ptr<beast::tcp_stream>>
endpoint_pool::connect(const ip_address& address)
{
    auto stream = std::make_unique<beast::tcp_stream>(m_context);
    stream->expires_after(connect_patience);
    error_code error;
    co_await stream->async_connect(address.tcp(), to_coroutine(error));
    if (error) {
        co_return nullptr;
    }
    set_options(*stream);
    co_return stream;
}

asio::awaitable<endpoint_answer> endpoint_pool::exchange(endpoint_call call)
{
    endpoint_answer answer;
    const std::optional<ip_address> address = parse_address(call.m_address);
    if (!address) {
        co_return answer;
    }
    connection_set& connections = m_connections[call.m_address];
    connections.m_peak = std::max(connections.m_peak, ++connections.m_busy);
    const bool reused = !connections.m_idle.empty();
    std::unique_ptr<beast::tcp_stream> stream;
    if (reused) {
        stream = std::move(connections.m_idle.back().m_stream);
        connections.m_idle.pop_back();
    }
    else {
        stream = co_await connect(*address);
    }
    if (stream) {
        answer = co_await exchange_on(*stream, call, reused);
    }
    --connections.m_busy;
    if (answer.m_end == exchange_end::answered && answer.m_response.keep_alive()) {
        give_back(call.m_address, std::move(stream));
    }
    co_return answer;
}

void endpoint_pool::give_back(const std::string& address, std::unique_ptr<beast::tcp_stream> stream)
{
    connection_set& connections = m_connections[address];
    const std::size_t wanted = std::max(connections.m_peak, connections.m_former_peak);
    if (connections.m_idle.size() + connections.m_busy < wanted) {
        stream->expires_never();
        connections.m_idle.push_back({std::move(stream), read_clock()});
    }
}

asio::awaitable<endpoint_answer> endpoint_pool::exchange_on(beast::tcp_stream& stream,
                                                            endpoint_call& call, bool reused)
{
    endpoint_answer answer;
    answer.m_reused_connection = reused;
    http::request<http::string_body>& request = call.m_request;
    const bool head = request.method() == http::verb::head;
    if (!call.m_idempotent) {
        request.set(http::field::expect, "100-continue");
        if (request.body().empty()) {
            request.erase(http::field::content_length);
            request.chunked(true);
        }
    }
    http::request_serializer<http::string_body> serializer(request);
    serializer.split(!call.m_idempotent);
    beast::flat_buffer buffer;
    error_code error;
    if (call.m_idempotent && !call.m_may_send()) {
        co_return answer;
    }
    if (!call.m_idempotent) {
        stream.expires_after(write_patience);
        co_await http::async_write_header(stream, serializer, to_coroutine(error));
        if (error) {
            co_return answer;
        }
        stream.expires_after(continue_patience);
        http::response_parser<http::empty_body> interim;
        co_await http::async_read_header(stream, buffer, interim, to_coroutine(error));
        if (error) {
            co_return answer;
        }
        if (interim.get().result() != http::status::continue_) {
            http::response_parser<http::string_body> refusal(std::move(interim));
            refusal.body_limit(m_max_answer_bytes);
            co_await http::async_read(stream, buffer, refusal, to_coroutine(error));
            if (!error) {
                answer.m_end = exchange_end::answered;
                answer.m_response = refusal.release();
                answer.m_response.keep_alive(false);
            }
            co_return answer;
        }
        if (!call.m_may_send()) {
            co_return answer;
        }
    }
    stream.expires_after(write_patience);
    co_await http::async_write(stream, serializer, to_coroutine(error));
    if (error) {
        const bool whole = serializer.is_done() || call.m_idempotent;
        answer.m_end = whole ? exchange_end::lost : exchange_end::not_sent;
        co_return answer;
    }
    const bool short_patience = call.m_idempotent && reused && call.m_patience < call.m_run_limit;
    stream.expires_after(short_patience ? call.m_patience : call.m_run_limit);
    co_await read_answer(stream, buffer, m_max_answer_bytes, head, short_patience, answer);
    co_return answer;
}

void endpoint_pool::close_stale(time_point now)
{
    const bool new_period = now - m_period_began >= peak_period;
    m_period_began = new_period ? now : m_period_began;
    for (auto it = m_connections.begin(); it != m_connections.end();) {
        connection_set& connections = it->second;
        std::erase_if(connections.m_idle, [now](const idle_connection& connection) {
            return now - connection.m_since > idle_limit;
        });
        if (new_period) {
            connections.m_former_peak = std::exchange(connections.m_peak, connections.m_busy);
        }
        const bool unused = connections.m_idle.empty() && connections.m_busy == 0;
        it = unused ? m_connections.erase(it) : std::next(it);
    }
}

} // namespace guavabay
