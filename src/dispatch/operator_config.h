#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/time.h"
#include "schedule/shard.h"

namespace guavabay {

/// Where callers reach a queue, and its contract.
struct queue_route {
    std::string m_host; ///< Of the request, without a port.
    std::string m_path; ///< Beginning of the request's path.
    milliseconds m_timeout{0};
    queue_contract m_contract;
};

/// What the operator says of a service, which is a pool of machines.
struct pool_config {
    service_id m_service;
    bool m_enforces_capacity = false; ///< Its workers refuse what does not fit.
    bool m_standby = false;           ///< Its machines are off and cost nothing.
};

/// Limits for callers' requests.
struct request_limits {
    std::uint32_t m_max_header_bytes = 16384;
    std::uint64_t m_max_body_bytes = 262144;
    milliseconds m_header_timeout{3000};
    milliseconds m_idle_timeout{15000};
};

/// The operator's configuration as a whole.
struct operator_config {
    std::int64_t m_version = 0;
    std::vector<queue_route> m_routes;
    std::vector<pool_config> m_pools;
    request_limits m_limits;
};

/// The route of a request: the host's route with the longest path that begins the request's path.
/// Null when there is none.
const queue_route* find_route(const operator_config& config, std::string_view host,
                              std::string_view path);

} // namespace guavabay
