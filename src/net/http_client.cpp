#include "net/http_client.h"

namespace guavabay {

namespace {

/// Largest answer that is read, in bytes; the platform's pages end at 1 MB of values.
constexpr std::uint64_t max_answer_bytes = 16ULL << 20U;

/// True when an idle connection was neither closed nor sent anything.
bool is_quiet(beast::tcp_stream& stream)
{
    char byte = 0;
    error_code error;
    stream.socket().receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    return error == asio::error::would_block || error == asio::error::try_again;
}

http::request<http::string_body> make_request(http_call&& what, const ip_address& address)
{
    http::request<http::string_body> request(http::string_to_verb(what.m_method), what.m_target,
                                             11);
    request.set(http::field::host, address.m_ip.to_string() + ":" + std::to_string(address.m_port));
    for (const auto& [name, value] : what.m_headers) {
        request.set(name, value);
    }
    if (!what.m_body.empty() || what.m_method == "POST") {
        request.set(http::field::content_type, "application/json");
        request.body() = std::move(what.m_body);
        request.prepare_payload();
    }
    return request;
}

} // namespace

http_client::http_client(asio::io_context& context, std::size_t max_idle_per_address)
    : m_context(context), m_max_idle(max_idle_per_address)
{
}

std::optional<beast::tcp_stream> http_client::take_idle(const key& address)
{
    std::deque<idle_connection>& idle = m_idle[address];
    while (!idle.empty()) {
        beast::tcp_stream stream = std::move(idle.back().m_stream);
        idle.pop_back();
        if (is_quiet(stream)) {
            return stream;
        }
    }
    return std::nullopt;
}

void http_client::close_idle(const key& address, clock::time_point since)
{
    std::deque<idle_connection>& idle = m_idle[address];
    while (!idle.empty() && idle.front().m_answered_at < since) {
        idle.pop_front();
    }
}

asio::awaitable<http_answer> http_client::call(ip_address address, http_call what,
                                               milliseconds timeout,
                                               std::optional<milliseconds> max_pause,
                                               time_point* last_received_at)
{
    http_answer answer;
    error_code error;
    const key place{address.m_ip, address.m_port};
    const clock::time_point started_at = clock::now();
    const clock::time_point deadline = started_at + timeout;
    std::optional<beast::tcp_stream> stream = take_idle(place);
    const bool was_kept = stream.has_value();
    if (!was_kept) {
        stream.emplace(m_context);
        stream->expires_at(deadline);
        ++m_opened;
        co_await stream->async_connect(address.tcp(), to_coroutine(error));
        if (error) {
            answer.m_progress = call_progress::not_sent;
            co_return answer;
        }
        stream->socket().set_option(asio::ip::tcp::no_delay(true), error);
        stream->socket().non_blocking(true, error);
    }
    if (what.m_may_send && !what.m_may_send()) {
        answer.m_progress = call_progress::not_sent;
        co_return answer;
    }
    const auto request = make_request(std::move(what), address);
    http::request_serializer<http::string_body> serializer(request);
    while (!serializer.is_done()) {
        stream->expires_at(max_pause ? std::max(deadline, clock::now() + *max_pause) : deadline);
        co_await http::async_write_some(*stream, serializer, to_coroutine(error));
        if (error) {
            if (was_kept) {
                close_idle(place, started_at);
            }
            co_return answer;
        }
    }
    if (max_pause) {
        // A request that took long to send leaves the other side time to answer.
        stream->expires_at(std::max(deadline, clock::now() + std::min(timeout, *max_pause)));
    }
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(max_answer_bytes);
    parser.eager(true);
    while (!parser.is_done()) {
        co_await http::async_read_some(*stream, buffer, parser, to_coroutine(error));
        answer.m_received_bytes = parser.get().body().size();
        if (error) {
            if (was_kept && answer.m_received_bytes == 0) {
                close_idle(place, started_at);
            }
            co_return answer;
        }
        if (last_received_at != nullptr && parser.is_header_done() &&
            parser.get().result() == http::status::ok) {
            *last_received_at = read_boot_clock();
        }
        if (max_pause) {
            stream->expires_after(*max_pause);
        }
    }
    answer.m_progress = call_progress::answered;
    answer.m_status = parser.get().result_int();
    const bool keep = parser.get().keep_alive();
    answer.m_body = std::move(parser.release().body());
    std::deque<idle_connection>& idle = m_idle[place];
    if (keep && buffer.size() == 0 && idle.size() < m_max_idle) {
        stream->expires_never();
        idle.push_back({std::move(*stream), clock::now()});
    }
    co_return answer;
}

} // namespace guavabay
