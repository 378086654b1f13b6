#include "net/request_reader.h"

#include <algorithm>
#include <string_view>

namespace guavabay {

namespace {

/// The bytes of a request may not exceed the limits of its header, its trailers and this multiple
/// of the largest body. A body in chunks of one byte takes six times its size.
constexpr std::uint64_t max_framing_factor = 8;

/// Memory of a parsed field beside its text: its node in the list of fields and the overhead of its
/// allocation.
constexpr std::size_t field_overhead_bytes = 96;

constexpr std::string_view end_of_header = "\r\n\r\n";

/// Memory that the parsed fields of a header take, in bytes.
std::size_t field_memory(const http::fields& fields)
{
    std::size_t bytes = 0;
    for (const auto& field : fields) {
        bytes += field_overhead_bytes + field.name_string().size() + field.value().size();
    }
    return bytes;
}

} // namespace

std::uint64_t max_request_bytes(std::uint64_t max_header_bytes, std::uint64_t max_body_bytes)
{
    return 2 * max_header_bytes + max_framing_factor * max_body_bytes;
}

error_code count_header(connection_budget& budget, budgeted_connection& connection,
                        const beast::flat_buffer& buffer, read_progress& progress)
{
    const auto data = buffer.cdata();
    const std::string_view unparsed(static_cast<const char*>(data.data()), data.size());
    const std::uint64_t received = progress.m_received_bytes + unparsed.size();
    // The parser may have taken a part already. Each byte is looked at once.
    const std::size_t counted =
        unparsed.size() - static_cast<std::size_t>(received - progress.m_counted_bytes);
    const std::size_t end =
        std::max(counted, unparsed.find(end_of_header,
                                        counted - std::min(counted, end_of_header.size() - 1)));
    const std::string_view added = unparsed.substr(counted, end - counted);
    const auto lines = static_cast<std::size_t>(std::count(added.begin(), added.end(), '\n'));
    progress.m_field_bytes += added.size() + lines * field_overhead_bytes;
    progress.m_counted_bytes = received;
    if (connection.m_state == connection_state::idle) {
        enter_state(budget, connection, connection_state::reading_header);
    }
    const bool may_go_on = hold(budget, connection, buffer.capacity() + progress.m_field_bytes);
    return may_go_on ? error_code() : asio::error::operation_aborted;
}

error_code check_progress(connection_budget& budget, budgeted_connection& connection,
                          const beast::flat_buffer& buffer, const request_parser& parser,
                          const read_progress& progress)
{
    const connection_state state =
        parser.is_header_done() ? connection_state::reading_body : connection_state::reading_header;
    if (connection.m_state != state) {
        enter_state(budget, connection, state);
    }
    const std::size_t bytes =
        buffer.capacity() + parser.get().body().size() + progress.m_field_bytes;
    return hold(budget, connection, bytes) ? error_code() : asio::error::operation_aborted;
}

error_code count_complete(connection_budget& budget, budgeted_connection& connection,
                          const beast::flat_buffer& buffer, const request_parser& parser)
{
    const std::size_t bytes =
        buffer.capacity() + parser.get().body().size() + field_memory(parser.get());
    if (connection.m_state == connection_state::idle) {
        enter_state(budget, connection, connection_state::reading_body);
    }
    return hold(budget, connection, bytes) ? error_code() : asio::error::operation_aborted;
}

error_code parse_received(beast::flat_buffer& buffer, request_parser& parser, read_until end,
                          read_progress& progress)
{
    error_code error;
    while (buffer.size() > 0 && !error) {
        const std::size_t length = parser.put(buffer.data(), error);
        buffer.consume(length);
        progress.m_received_bytes += length;
        if (parser.is_done() || (end == read_until::header && parser.is_header_done())) {
            return error == http::error::need_more ? error_code() : error;
        }
    }
    return error ? error : http::error::need_more;
}

asio::awaitable<error_code> wait_for_closed(connection_budget& budget,
                                            const budgeted_connection& connection)
{
    // A closed connection leaves when its pending operation has ended, which is in the queue of the
    // context by now.
    constexpr int max_turns = 16;
    for (int turn = 0; turn < max_turns && is_over(budget) && !connection.m_close_reason; ++turn) {
        co_await asio::post(co_await asio::this_coro::executor, asio::use_awaitable);
    }
    co_return connection.m_close_reason ? asio::error::operation_aborted : error_code();
}

} // namespace guavabay
