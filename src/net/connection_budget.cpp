#include "net/connection_budget.h"

#include <algorithm>

namespace guavabay {

namespace {

/// Share of a machine's memory for bytes that are read and not handed on and for answers that are
/// not taken. The rest is for the program, for its state, for copies of a request while it is
/// handled, and for the connections themselves. Of 160 MB it leaves 40 MB, which 64 of the largest
/// bodies (16 MB) do not reach.
constexpr std::size_t memory_divisor = 4;

/// Descriptors that are not available for sockets.
constexpr std::size_t file_descriptors = 200;

/// Of the remaining descriptors, callers get 4 of 5: 3,120 of 3,900 on the smallest machine. The
/// others are for peers in both directions, workers, the store and the small ports.
constexpr std::size_t caller_share = 4;
constexpr std::size_t all_shares = 5;
constexpr std::size_t peer_divisor = 20;
constexpr std::size_t small_port_divisor = 100;

/// One address may take 25 of 26 connections of the callers' port: a balancer brings 3,000 callers
/// from one address.
constexpr std::size_t address_share = 25;
constexpr std::size_t all_address_shares = 26;

/// Each order to a worker, and each call that is made for a peer, takes a connection of its own.
constexpr std::size_t order_divisor = 4;
constexpr std::size_t min_orders = 8;
constexpr std::size_t relay_divisor = 8;
constexpr std::size_t min_relayed_calls = 4;

constexpr std::size_t min_peer_connections = 8;
constexpr std::size_t min_small_port_connections = 4;
constexpr std::size_t min_caller_connections = 16;

/// A connection is closed in favour of a new one after this time in a state other than handling. A
/// new connection has as much time to begin its request.
constexpr milliseconds slow_after{1000};

/// What may remain of the limit when connections are closed for memory. Without a distance, each
/// further piece would need another search.
constexpr std::size_t remaining_numerator = 7;
constexpr std::size_t remaining_denominator = 8;

/// A header and a body may have these fractions of the limit of bytes.
constexpr std::size_t header_divisor = 16;
constexpr std::size_t body_divisor = 4;

constexpr std::size_t index_of(connection_state state)
{
    return static_cast<std::size_t>(state);
}

connection_budget::port& port_of(connection_budget& budget, const budgeted_connection& connection)
{
    return budget.m_ports.at(static_cast<std::size_t>(connection.m_port));
}

/// Gives a connection's place on its port back.
void release_place(connection_budget& budget, const budgeted_connection& connection)
{
    connection_budget::port& port = port_of(budget, connection);
    --port.m_count;
    const auto known = port.m_per_source.find(connection.m_source);
    if (--known->second == 0) {
        port.m_per_source.erase(known);
    }
}

/// Closes the socket of a connection. What it holds is counted until it leaves.
void close_for(connection_budget& budget, budgeted_connection& connection, budget_reason reason)
{
    if (connection.m_close_reason) {
        return;
    }
    connection.m_close_reason = reason;
    budget.m_closing_bytes += connection.m_bytes;
    ++budget.m_closed.at(static_cast<std::size_t>(reason));
    release_place(budget, connection);
    connection.close_socket();
}

/// The first open connection of a list, from one source if one is given; null if there is none.
budgeted_connection* first_open(connection_budget::connection_list& connections,
                                std::optional<std::uint64_t> source)
{
    const auto found = std::find_if(
        connections.begin(), connections.end(), [source](const budgeted_connection& one) {
            return !one.m_close_reason && (!source || one.m_source == *source);
        });
    return found == connections.end() ? nullptr : &*found;
}

/// The connection of a port, or of one source there, that has been slow for longest; null if none
/// is slow.
budgeted_connection* find_slowest(const connection_budget& budget, connection_budget::port& port,
                                  std::optional<std::uint64_t> source)
{
    budgeted_connection* slowest = nullptr;
    for (std::size_t state = 0; state < connection_state_count; ++state) {
        if (state == index_of(connection_state::handling)) {
            continue;
        }
        budgeted_connection* candidate = first_open(port.m_connections.at(state), source);
        const bool is_slow =
            candidate != nullptr && budget.m_now - candidate->m_since >= slow_after;
        if (is_slow && (slowest == nullptr || candidate->m_since < slowest->m_since)) {
            slowest = candidate;
        }
    }
    return slowest;
}

/// Connections that hold bytes and may be closed.
std::vector<budgeted_connection*> closable(connection_budget& budget)
{
    std::vector<budgeted_connection*> found;
    for (connection_budget::port& port : budget.m_ports) {
        for (std::size_t state = 0; state < connection_state_count; ++state) {
            for (budgeted_connection& one : port.m_connections.at(state)) {
                if (one.m_bytes > 0 && !one.m_close_reason &&
                    state != index_of(connection_state::handling)) {
                    found.push_back(&one);
                }
            }
        }
    }
    return found;
}

/// Bytes times the time for which they were held; the clock counts as one second ahead, so that
/// among new connections the largest come first.
std::int64_t cost_of(const connection_budget& budget, const budgeted_connection& connection)
{
    const auto age = std::chrono::duration_cast<milliseconds>(budget.m_now - connection.m_since +
                                                              std::chrono::seconds(1));
    return static_cast<std::int64_t>(connection.m_bytes) * age.count();
}

/// Closes the most expensive connections until enough is free.
void free_memory(connection_budget& budget)
{
    const std::size_t allowed =
        budget.m_limits.m_max_bytes / remaining_denominator * remaining_numerator;
    std::size_t remaining = budget.m_bytes - budget.m_closing_bytes;
    if (remaining <= budget.m_limits.m_max_bytes) {
        return;
    }
    std::vector<budgeted_connection*> candidates = closable(budget);
    std::sort(candidates.begin(), candidates.end(),
              [&budget](const budgeted_connection* left, const budgeted_connection* right) {
                  return cost_of(budget, *left) > cost_of(budget, *right);
              });
    for (budgeted_connection* one : candidates) {
        if (remaining <= allowed) {
            return;
        }
        remaining -= one->m_bytes;
        close_for(budget, *one, budget_reason::memory);
    }
}

std::string_view to_string(budget_port port)
{
    constexpr std::array<std::string_view, budget_port_count> words{"callers", "readiness",
                                                                    "metrics", "peers"};
    return words.at(static_cast<std::size_t>(port));
}

std::string_view to_string(connection_state state)
{
    constexpr std::array<std::string_view, connection_state_count> words{
        "idle", "reading_header", "reading_body", "handling", "writing"};
    return words.at(static_cast<std::size_t>(state));
}

void append_line(std::string& text, std::string_view name, const std::string& labels,
                 std::uint64_t value)
{
    text += name;
    text += labels + " " + std::to_string(value) + "\n";
}

} // namespace

std::size_t per_address_limit(std::size_t connections)
{
    return std::max<std::size_t>(1, connections * address_share / all_address_shares);
}

budget_limits derive_budget_limits(std::size_t memory_mb, std::size_t max_descriptors)
{
    constexpr std::size_t megabyte = 1U << 20U;
    const std::size_t sockets =
        max_descriptors > file_descriptors ? max_descriptors - file_descriptors : 0;
    const std::size_t callers =
        std::max(min_caller_connections, sockets * caller_share / all_shares);
    const std::size_t peers = std::max(min_peer_connections, sockets / peer_divisor);
    const std::size_t small = std::max(min_small_port_connections, sockets / small_port_divisor);
    budget_limits limits;
    limits.m_max_bytes = memory_mb * megabyte / memory_divisor;
    limits.m_ports = {
        {{callers, per_address_limit(callers)}, {small, small}, {small, small}, {peers, peers}}};
    limits.m_orders = std::max(min_orders, sockets / order_divisor);
    limits.m_relayed_calls = std::max(min_relayed_calls, sockets / relay_divisor);
    return limits;
}

std::uint32_t header_limit(const connection_budget& budget, std::uint32_t configured_bytes)
{
    return static_cast<std::uint32_t>(
        std::min<std::size_t>(configured_bytes, budget.m_limits.m_max_bytes / header_divisor));
}

std::uint64_t body_limit(const connection_budget& budget, std::uint64_t configured_bytes)
{
    return std::min<std::uint64_t>(configured_bytes, budget.m_limits.m_max_bytes / body_divisor);
}

std::optional<budget_reason> admit(connection_budget& budget, budgeted_connection& connection)
{
    connection_budget::port& port = port_of(budget, connection);
    const port_limits& limits =
        budget.m_limits.m_ports.at(static_cast<std::size_t>(connection.m_port));
    const auto known = port.m_per_source.find(connection.m_source);
    const std::size_t from_source = known == port.m_per_source.end() ? 0 : known->second;
    const bool is_source_full = from_source >= limits.m_per_address;
    if (is_source_full || port.m_count >= limits.m_connections) {
        const budget_reason reason =
            is_source_full ? budget_reason::address : budget_reason::connections;
        // An address that has all of its connections only replaces its own.
        const auto source = is_source_full ? std::optional(connection.m_source) : std::nullopt;
        budgeted_connection* slowest = find_slowest(budget, port, source);
        if (slowest == nullptr) {
            count_refusal(budget, reason);
            return reason;
        }
        close_for(budget, *slowest, reason);
    }
    ++port.m_count;
    ++port.m_per_source[connection.m_source];
    connection.m_since = budget.m_now;
    port.m_connections.at(index_of(connection.m_state)).push_back(connection);
    return std::nullopt;
}

void leave(connection_budget& budget, budgeted_connection& connection)
{
    connection_budget::port& port = port_of(budget, connection);
    auto& connections = port.m_connections.at(index_of(connection.m_state));
    connections.erase(connections.iterator_to(connection));
    budget.m_bytes -= connection.m_bytes;
    if (connection.m_close_reason) {
        budget.m_closing_bytes -= connection.m_bytes;
    }
    else {
        release_place(budget, connection);
    }
    connection.m_bytes = 0;
}

void enter_state(connection_budget& budget, budgeted_connection& connection, connection_state state)
{
    connection_budget::port& port = port_of(budget, connection);
    auto& from = port.m_connections.at(index_of(connection.m_state));
    auto& to = port.m_connections.at(index_of(state));
    to.splice(to.end(), from, from.iterator_to(connection));
    connection.m_state = state;
    connection.m_since = budget.m_now;
}

bool hold(connection_budget& budget, budgeted_connection& connection, std::size_t bytes)
{
    if (connection.m_close_reason) {
        return false;
    }
    budget.m_bytes = budget.m_bytes - connection.m_bytes + bytes;
    const bool grows = bytes > connection.m_bytes;
    connection.m_bytes = bytes;
    budget.m_peak_bytes = std::max(budget.m_peak_bytes, budget.m_bytes);
    if (grows && budget.m_bytes > budget.m_limits.m_max_bytes) {
        free_memory(budget);
    }
    return !connection.m_close_reason;
}

bool is_over(const connection_budget& budget)
{
    return budget.m_bytes > budget.m_limits.m_max_bytes;
}

void close_expired(connection_budget& budget, budget_port port, const state_timeouts& timeouts)
{
    constexpr std::array<budget_reason, connection_state_count> reasons{
        budget_reason::idle_timeout, budget_reason::header_timeout, budget_reason::body_timeout,
        budget_reason::write_timeout, budget_reason::write_timeout};
    connection_budget::port& counted = budget.m_ports.at(static_cast<std::size_t>(port));
    for (std::size_t state = 0; state < connection_state_count; ++state) {
        const milliseconds timeout = timeouts.at(state);
        for (budgeted_connection& one : counted.m_connections.at(state)) {
            if (timeout == milliseconds::zero() || budget.m_now - one.m_since <= timeout) {
                break;
            }
            close_for(budget, one, reasons.at(state));
        }
    }
}

void count_refusal(connection_budget& budget, budget_reason reason)
{
    ++budget.m_refused.at(static_cast<std::size_t>(reason));
}

std::string_view to_string(budget_reason reason)
{
    constexpr std::array<std::string_view, budget_reason_count> words{
        "connections",  "address",      "memory",         "header_size",  "body_size",
        "request_size", "idle_timeout", "header_timeout", "body_timeout", "write_timeout"};
    return words.at(static_cast<std::size_t>(reason));
}

std::string format_budget_metrics(const connection_budget& budget)
{
    std::string text;
    append_line(text, "guavabay_held_bytes", "", budget.m_bytes);
    append_line(text, "guavabay_held_bytes_peak", "", budget.m_peak_bytes);
    append_line(text, "guavabay_held_bytes_limit", "", budget.m_limits.m_max_bytes);
    for (std::size_t port = 0; port < budget_port_count; ++port) {
        for (std::size_t state = 0; state < connection_state_count; ++state) {
            const std::string labels =
                "{port=\"" + std::string(to_string(static_cast<budget_port>(port))) +
                "\",state=\"" + std::string(to_string(static_cast<connection_state>(state))) +
                "\"}";
            append_line(text, "guavabay_connections", labels,
                        budget.m_ports.at(port).m_connections.at(state).size());
        }
    }
    for (std::size_t reason = 0; reason < budget_reason_count; ++reason) {
        const std::string labels =
            "{reason=\"" + std::string(to_string(static_cast<budget_reason>(reason))) + "\"}";
        append_line(text, "guavabay_refusals_total", labels, budget.m_refused.at(reason));
        append_line(text, "guavabay_connections_closed_total", labels, budget.m_closed.at(reason));
    }
    return text;
}

} // namespace guavabay
