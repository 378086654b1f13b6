#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "contract/organisation.h"
#include "core/time.h"
#include "schedule/shard.h"

namespace guavabay {

/// HTTP route of a queue, with the queue's contract.
struct queue_route {
    std::string m_host;        ///< Host header of matching requests, without a port.
    std::string m_path;        ///< Path prefix of matching requests.
    milliseconds m_timeout{0}; ///< The operator's timeout of the route; currently not enforced.
    bool m_public = false;     ///< Requests need no key, and their work belongs to nobody.
    queue_contract m_contract;
};

/// Operator's settings of one service. Each service runs on its own pool of machines.
struct pool_config {
    service_id m_service;
    bool m_enforces_capacity = false; ///< Its workers refuse runs that exceed their capacity.
    bool m_standby = false;           ///< Its machines are switched off and cost nothing.
};

/// Limits on callers' HTTP requests.
struct request_limits {
    std::uint32_t m_max_header_bytes = 16384;
    std::uint64_t m_max_body_bytes = 262144;
    milliseconds m_header_timeout{3000}; ///< From the end of the header to the end of the body.
    milliseconds m_idle_timeout{15000};  ///< Wait for a request and its whole header.
};

/// The operator's configuration: routes of all queues, services and request limits.
struct operator_config {
    std::int64_t m_version = 0; ///< Assigned by the operator; only logged.
    std::vector<queue_route> m_routes;
    std::vector<pool_config> m_pools;
    request_limits m_limits;
    organisation_directory m_organisations; ///< Empty: requests need no key.
};

/// Finds the route of a request: among the routes of its host, the one with the longest path prefix
/// that matches. The host may include a port, which is ignored. Returns null if no route matches;
/// the pointer refers into the configuration.
const queue_route* find_route(const operator_config& config, std::string_view host,
                              std::string_view path);

/// Returns the key in the value of an Authorization header of the scheme Bearer; empty if there is
/// none.
std::string_view bearer_key(std::string_view authorization);

/// Finds the organisation that a request to a route belongs to, by the value of its Authorization
/// header. The id is empty if the route is public or the configuration has no organisations. Empty
/// result, with a reason, if the key is missing or unknown.
std::optional<organisation_id> authorize(const operator_config& config, const queue_route& route,
                                         std::string_view authorization);

} // namespace guavabay
