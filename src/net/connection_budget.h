#pragma once

#include <array>
#include <boost/intrusive/list.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/time.h"

namespace guavabay {

/// Ports of a process that share one budget. Each has its own limit of connections, so that a crowd
/// on one of them does not keep others out.
enum class budget_port : std::uint8_t { callers, readiness, metrics, peers };

inline constexpr std::size_t budget_port_count = 4;

/// What a connection is doing.
enum class connection_state : std::uint8_t {
    idle,           ///< No byte of a next request has arrived.
    reading_header, ///< A part of a request or frame has arrived.
    reading_body,
    handling, ///< The request was handed on; such a connection is never closed by the budget.
    writing,  ///< The answer is not fully taken.
};

inline constexpr std::size_t connection_state_count = 5;

/// Why a connection or request was refused, or a connection closed.
enum class budget_reason : std::uint8_t {
    connections,    ///< The port has no connection left.
    address,        ///< The address has no connection left.
    memory,         ///< The bytes of all connections exceed the limit.
    header_size,    ///< The header, the trailers or a chunk extension is too large.
    body_size,      ///< The body is too large.
    request_size,   ///< The body's framing is out of proportion to the body.
    idle_timeout,   ///< No request came.
    header_timeout, ///< The header took too long.
    body_timeout,   ///< The body took too long.
    write_timeout,  ///< The answer was not taken in time.
};

inline constexpr std::size_t budget_reason_count = 10;

/// Limits of one port.
struct port_limits {
    std::size_t m_connections = 0;
    std::size_t m_per_address = 0;
};

/// Limits of a process.
struct budget_limits {
    std::size_t m_max_bytes = 0;
    std::array<port_limits, budget_port_count> m_ports{};
    std::size_t m_relayed_calls = 0; ///< Calls that are made for peers at one time.
    std::size_t m_orders = 0;        ///< Orders to workers that are under way at one time.
};

/// Derives the limits from a machine's memory and descriptors.
budget_limits derive_budget_limits(std::size_t memory_mb, std::size_t max_descriptors);

/// Connections that one address may have of a number of connections: most, but not all.
std::size_t per_address_limit(std::size_t connections);

/// Time limits of the states of a connection; zero for none.
using state_timeouts = std::array<milliseconds, connection_state_count>;

/// A connection that the budget counts. Must be removed with leave() before it is destroyed.
class budgeted_connection : public boost::intrusive::list_base_hook<> {
public:
    budgeted_connection() = default;
    budgeted_connection(const budgeted_connection&) = delete;
    budgeted_connection& operator=(const budgeted_connection&) = delete;
    virtual ~budgeted_connection() = default;

    /// Closes the connection's socket. Its coroutine then finds `m_close_reason`. Called once.
    virtual void close_socket() = 0;

    budget_port m_port = budget_port::callers;
    connection_state m_state = connection_state::idle;
    std::uint64_t m_source = 0; ///< Stands for the address of the client.
    std::size_t m_bytes = 0;    ///< Held for it now.
    time_point m_since{};       ///< When it entered its state, by the budget's clock.
    std::optional<budget_reason> m_close_reason; ///< Set when it has to close.
};

/// Bytes and connections of a process. The clock is set by the user at intervals and is only as
/// accurate as these, so that a request needs no reading of the time.
struct connection_budget {
    using connection_list = boost::intrusive::list<budgeted_connection>;

    /// Connections of one port.
    struct port {
        /// By state; the one that has been in its state for longest is in front.
        std::array<connection_list, connection_state_count> m_connections;
        std::unordered_map<std::uint64_t, std::size_t> m_per_source;
        std::size_t m_count = 0; ///< Those whose sockets are open.
    };

    budget_limits m_limits;
    time_point m_now{};
    std::size_t m_bytes = 0;
    std::size_t m_closing_bytes = 0; ///< Of these, bytes of connections that are about to leave.
    std::size_t m_peak_bytes = 0;
    std::array<port, budget_port_count> m_ports;
    std::array<std::uint64_t, budget_reason_count> m_refused{};
    std::array<std::uint64_t, budget_reason_count> m_closed{};
};

/// Largest header and largest body that a port takes, in bytes: what the configuration allows, but
/// no more than a fraction of what the process may hold, so that one request does not end all
/// others.
std::uint32_t header_limit(const connection_budget& budget, std::uint32_t configured_bytes);
std::uint64_t body_limit(const connection_budget& budget, std::uint64_t configured_bytes);

/// Admits a new connection, whose port and source are set, or returns why it is refused. If the
/// port is full, the slowest connection is closed in its favour; the new one is refused if there
/// is none that is slow.
std::optional<budget_reason> admit(connection_budget& budget, budgeted_connection& connection);

/// Removes a connection that was admitted, with what it holds.
void leave(connection_budget& budget, budgeted_connection& connection);

/// Sets the state of a connection.
void enter_state(connection_budget& budget, budgeted_connection& connection,
                 connection_state state);

/// Sets the bytes that a connection holds. If the limit is exceeded, closes connections until
/// enough is free: those first that have held the most bytes for the longest time, perhaps this
/// one. Returns false if this one is closed.
bool hold(connection_budget& budget, budgeted_connection& connection, std::size_t bytes);

/// True while more is held than allowed, because connections that were closed have not left yet.
bool is_over(const connection_budget& budget);

/// Closes the connections of a port that have been in their states for longer than allowed.
void close_expired(connection_budget& budget, budget_port port, const state_timeouts& timeouts);

/// Counts a refusal.
void count_refusal(connection_budget& budget, budget_reason reason);

/// Word for a reason in metrics and logs.
std::string_view to_string(budget_reason reason);

/// Formats the budget's metrics in the Prometheus text format.
std::string format_budget_metrics(const connection_budget& budget);

} // namespace guavabay
