#pragma once

#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "core/time.h"
#include "net/address.h"
#include "net/http_call.h"

namespace guavabay {

/// Calls other systems over HTTP/1.1 and keeps connections for later calls. One call is under way
/// on a connection; a connection whose answer did not come in time is closed, so that a late
/// answer reaches no other call. If it had been kept from an earlier call, so are the idle ones to
/// that address that have carried no answer since the call began: a path that lost its state
/// silences them together. Used on the thread of its context.
class http_client {
public:
    /// Makes a client that keeps at most the given number of idle connections to an address.
    http_client(asio::io_context& context, std::size_t max_idle_per_address);

    /// Carries out a call, which has to be complete within the timeout. With a maximum pause the
    /// timeout only limits the time until the answer begins; the request and the answer may take
    /// as long as they make progress, with no pause longer than the maximum. Sets the time at which
    /// data of a successful answer last arrived, if it is asked for.
    asio::awaitable<http_answer> call(ip_address address, http_call what, milliseconds timeout,
                                      std::optional<milliseconds> max_pause = std::nullopt,
                                      time_point* last_received_at = nullptr);

    /// Number of connections opened so far, for the metrics.
    [[nodiscard]] std::uint64_t opened() const { return m_opened; }

private:
    using key = std::pair<asio::ip::address, std::uint16_t>;
    using clock = asio::steady_timer::clock_type;

    /// A connection without a call.
    struct idle_connection {
        beast::tcp_stream m_stream;
        clock::time_point m_answered_at; ///< When its last answer was complete.
    };

    /// Takes the idle connection to an address that was used last; empty if there is none.
    std::optional<beast::tcp_stream> take_idle(const key& address);

    /// Closes the idle connections to an address that have carried no answer since a moment.
    void close_idle(const key& address, clock::time_point since);

    asio::io_context& m_context;
    std::size_t m_max_idle;
    std::map<key, std::deque<idle_connection>> m_idle; ///< The one used last is at the end.
    std::uint64_t m_opened = 0;
};

} // namespace guavabay
