#pragma once

#include "net/asio.h"
#include "net/connection_budget.h"

namespace guavabay {

using request_parser = http::request_parser<http::string_body>;

/// Largest sum of the bytes of a request with its trailers and the framing of its chunks.
std::uint64_t max_request_bytes(std::uint64_t max_header_bytes, std::uint64_t max_body_bytes);

/// How far a request is read.
enum class read_until : std::uint8_t { header, end };

/// What has been read of one request.
struct read_progress {
    std::uint64_t m_received_bytes = 0; ///< Of the header, the body and its framing.
    std::uint64_t m_counted_bytes = 0;  ///< Of these and of those that wait to be parsed.
    std::size_t m_field_bytes = 0;      ///< Memory of the header's fields, at most.
};

/// Counts the memory of the fields that the received part of a header will take, which is far more
/// than its text, before the parser makes them. Returns an error if it must not be parsed.
error_code count_header(connection_budget& budget, budgeted_connection& connection,
                        const beast::flat_buffer& buffer, read_progress& progress);

/// Counts what an incomplete request holds. Returns an error if it must not be read on.
error_code check_progress(connection_budget& budget, budgeted_connection& connection,
                          const beast::flat_buffer& buffer, const request_parser& parser,
                          const read_progress& progress);

/// Counts what a complete request holds until its answer is taken. Returns an error if it must not
/// be handed on.
error_code count_complete(connection_budget& budget, budgeted_connection& connection,
                          const beast::flat_buffer& buffer, const request_parser& parser);

/// Parses what the buffer holds and adds its bytes to the count. The error is need_more if the
/// header, or the request, is not complete.
error_code parse_received(beast::flat_buffer& buffer, request_parser& parser, read_until end,
                          read_progress& progress);

/// Waits for connections that the budget has closed, so that they leave before another one takes
/// memory. Returns an error if this one was closed.
asio::awaitable<error_code> wait_for_closed(connection_budget& budget,
                                            const budgeted_connection& connection);

/// Reads a request or its header, piece by piece, so that each piece is counted in the budget.
/// Trailers and chunk extensions have to fit into the buffer, whose maximum size the caller sets.
/// The progress goes on from the header to the rest. The error is operation_aborted if the budget
/// closed the connection.
template <typename Stream>
asio::awaitable<error_code>
read_request(Stream& stream, connection_budget& budget, budgeted_connection& connection,
             beast::flat_buffer& buffer, request_parser& parser, read_until end,
             std::uint64_t max_bytes, read_progress& progress)
{
    constexpr std::size_t max_read_bytes = 65536;
    while (true) {
        error_code error;
        if (!parser.is_header_done() && buffer.size() > 0) {
            error = count_header(budget, connection, buffer, progress);
            if (!error && is_over(budget)) {
                error = co_await wait_for_closed(budget, connection);
            }
            if (error) {
                co_return error;
            }
        }
        error = parse_received(buffer, parser, end, progress);
        if (!error) {
            co_return parser.is_done() ? count_complete(budget, connection, buffer, parser) : error;
        }
        if (error != http::error::need_more) {
            co_return error;
        }
        if (progress.m_received_bytes + buffer.size() > max_bytes) {
            count_refusal(budget, budget_reason::request_size);
            co_return http::error::body_limit;
        }
        if (progress.m_received_bytes + buffer.size() > 0) {
            error = check_progress(budget, connection, buffer, parser, progress);
            if (error) {
                co_return error;
            }
        }
        const std::size_t wanted = beast::read_size(buffer, max_read_bytes);
        if (wanted == 0) {
            co_return http::error::buffer_overflow;
        }
        error.clear();
        const std::size_t length =
            co_await stream.async_read_some(buffer.prepare(wanted), to_coroutine(error));
        buffer.commit(length);
        if (error || connection.m_close_reason) {
            co_return connection.m_close_reason ? asio::error::operation_aborted : error;
        }
    }
}

} // namespace guavabay
