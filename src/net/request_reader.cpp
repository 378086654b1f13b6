#include "net/request_reader.h"

namespace guavabay {

namespace {

/// The bytes of a request may not exceed the limits of its header, its trailers and this multiple
/// of the largest body. A body in chunks of one byte takes six times its size.
constexpr std::uint64_t max_framing_factor = 8;

} // namespace

std::uint64_t max_request_bytes(std::uint64_t max_header_bytes, std::uint64_t max_body_bytes)
{
    return 2 * max_header_bytes + max_framing_factor * max_body_bytes;
}

error_code check_progress(connection_budget& budget, budgeted_connection& connection,
                          const beast::flat_buffer& buffer, const request_parser& parser)
{
    const connection_state state =
        parser.is_header_done() ? connection_state::reading_body : connection_state::reading_header;
    if (connection.m_state != state) {
        enter_state(budget, connection, state);
    }
    const bool may_go_on = hold(budget, connection, buffer.size() + parser.get().body().size());
    return may_go_on ? error_code() : asio::error::operation_aborted;
}

error_code count_complete(connection_budget& budget, budgeted_connection& connection,
                          const request_parser& parser)
{
    const std::size_t bytes = parser.get().body().size();
    if (bytes == connection.m_bytes) {
        return {};
    }
    if (connection.m_state == connection_state::idle) {
        enter_state(budget, connection, connection_state::reading_body);
    }
    return hold(budget, connection, bytes) ? error_code() : asio::error::operation_aborted;
}

error_code parse_received(beast::flat_buffer& buffer, request_parser& parser, read_until end,
                          std::uint64_t& received_bytes)
{
    error_code error;
    while (buffer.size() > 0 && !error) {
        const std::size_t length = parser.put(buffer.data(), error);
        buffer.consume(length);
        received_bytes += length;
        if (parser.is_done() || (end == read_until::header && parser.is_header_done())) {
            return error == http::error::need_more ? error_code() : error;
        }
    }
    return error ? error : http::error::need_more;
}

} // namespace guavabay
