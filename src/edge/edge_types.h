#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <variant>

#include "core/time.h"
#include "node/node_events.h"

namespace guavabay {

/// The edge must finish what it has and take nothing new.
struct edge_stop {};

/// Everything that the control thread sends to the request path.
using edge_input = std::variant<edge_answer, config_view_ptr, edge_stop>;

/// Limits on what callers can make this process hold.
struct edge_limits {
    std::size_t m_max_connections = 10'000;
    std::uint32_t m_max_header_bytes = 16U << 10U;
    std::uint64_t m_max_body_bytes = 1U << 20U;
    std::uint64_t m_max_answer_bytes = 8U << 20U;
    std::uint64_t m_max_held_bytes = 256ULL << 20U; ///< Bodies of all requests together.
    seconds m_header_patience{10};
    seconds m_body_patience{30};
    seconds m_idle_patience{75};
    seconds m_write_patience{30};
    seconds m_drain_time{5};  ///< How long a stopping process takes requests on open connections.
    seconds m_stop_limit{30}; ///< When a stopping process gives up on what still runs.
};

/// What both threads may read of each other at any time.
struct shared_state {
    std::atomic<bool> m_ready{false}; ///< The configuration is in force and no stop is wanted.
    std::atomic<std::int64_t> m_fresh_until_us{0}; ///< Runtime clock; set by the control thread.
    std::atomic<std::uint64_t> m_peer_sent_bytes{0};
    std::atomic<std::uint64_t> m_peer_received_bytes{0};
    std::atomic<std::uint64_t> m_peer_rejected_packets{0};
};

} // namespace guavabay
