#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/error_kind.h"
#include "core/ids.h"
#include "core/time.h"

namespace guavabay {

/// SHA-256 digest of a caller's bearer key; the key itself is never kept.
using key_digest = std::array<std::uint8_t, 32>;

/// How urgent a service's requests are.
enum class service_class : std::uint8_t { interactive, batch };

/// What an entry host that can reach neither the store nor a peer does for a customer.
enum class isolation_rule : std::uint8_t { serve, stop };

/// The largest failure that must leave a customer's availability whole.
enum class survivable_failure : std::uint8_t { host, rack, zone };

/// What a contract grants for one service.
struct service_grant {
    service_id m_name;
    service_class m_class = service_class::interactive;
    double m_rate_per_second = 0;      ///< Requests a second across all entry hosts.
    std::uint32_t m_burst = 0;         ///< Requests that may come at once above the rate.
    std::uint32_t m_concurrency = 0;   ///< Requests at endpoints at one time.
    std::uint32_t m_queue_limit = 0;   ///< Requests that may wait at one time.
    milliseconds m_queue_deadline{0};  ///< Longest wait for an endpoint.
    milliseconds m_run_limit{0};       ///< Longest run at an endpoint.
    bool m_post_is_idempotent = false; ///< POST and PATCH may be repeated.
};

/// The hosts that a customer may hold in one pool.
struct host_grant {
    pool_id m_pool;
    std::uint32_t m_min = 0; ///< Hosts that the availability budget requires at all times.
    std::uint32_t m_max = 0; ///< Hosts that the customer may hold at most.
};

/// The work that a customer may have running.
struct task_grant {
    std::uint32_t m_running = 0;      ///< Tasks at one time.
    std::uint64_t m_cpu_millis = 0;   ///< Thousandths of a core over all running tasks.
    std::uint64_t m_memory_mb = 0;    ///< Megabytes over all running tasks.
    std::uint32_t m_accelerators = 0; ///< Accelerators over all running tasks.
};

/// Everything that is agreed with one customer; every limit derives from it.
struct contract {
    customer_id m_customer;
    std::vector<key_digest> m_keys;
    std::uint32_t m_weight = 1; ///< Share of contended capacity relative to other customers.
    wall_time m_begins{};
    std::optional<wall_time> m_ends;
    isolation_rule m_on_isolation = isolation_rule::serve;
    survivable_failure m_survives = survivable_failure::rack;
    std::vector<service_grant> m_services;
    std::vector<host_grant> m_hosts;
    task_grant m_tasks;
};

/// Finds the grant for a service; null when the contract has none.
const service_grant* find_service(const contract& terms, const service_id& service);

/// Why access is refused at a moment; empty when access is open.
std::optional<error_kind> access_refusal(const contract& terms, wall_time now);

} // namespace guavabay
