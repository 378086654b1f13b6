#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/ids.h"
#include "core/time.h"

namespace guavabay {

/// An endpoint of a service as the platform lists it.
struct endpoint_listing {
    endpoint_id m_id;
    service_id m_service;
    std::string m_address; ///< IP number and port.
    zone_id m_zone;
    rack_id m_rack;
    std::uint32_t m_slots = 0; ///< Requests that it serves at the same time.
    bool m_leaving = false;    ///< It takes no new requests and will be removed.
};

/// A listed endpoint with its slot usage and health as observed by the process that owns the
/// service.
struct endpoint_state {
    endpoint_listing m_listing;
    std::uint32_t m_slots_in_use = 0; ///< Slots granted and not yet released.
    /// Failed requests since the last answered one or the last ejection.
    std::uint32_t m_consecutive_failures = 0;
    /// Ejections since the last answered request; each doubles the next ejection time.
    std::uint32_t m_consecutive_ejections = 0;
    time_point m_ejected_until{}; ///< End of the ejection; the epoch when never ejected.
    time_point m_slow_start_at{}; ///< Start of the slow start; the epoch when never ejected.
};

/// All endpoints of one service by id.
using endpoint_table = std::map<endpoint_id, endpoint_state>;

/// Returns how many slots of an endpoint may be in use now: none while it is leaving or ejected,
/// and a share that grows linearly from one slot to all of them during slow start.
std::uint32_t usable_slots(const endpoint_state& endpoint, time_point now);

/// Returns the endpoint with a free slot that a request should use, or null when there is none.
/// Endpoints in the caller's zone are preferred, then those with the lowest ratio of slots in use;
/// excluded endpoints are never chosen.
endpoint_state* pick_endpoint(endpoint_table& endpoints, const zone_id& zone,
                              const std::vector<endpoint_id>& excluded, time_point now);

/// Returns true when at least one endpoint has a free slot.
bool has_free_slot(const endpoint_table& endpoints, time_point now);

/// Records whether a request was answered, and ejects the endpoint for a limited time after several
/// consecutive failures. It is not ejected when more than a third of the service's endpoints would
/// then be leaving or ejected. An unknown id is ignored.
void record_outcome(endpoint_table& endpoints, const endpoint_id& id, bool answered,
                    time_point now);

/// Returns the usable slots of all endpoints, whether in use or free.
std::uint32_t total_usable_slots(const endpoint_table& endpoints, time_point now);

/// Replaces the listings and keeps the observed state of endpoints that remain. An endpoint that is
/// no longer listed is marked as leaving and removed once none of its slots is in use.
void apply_listings(endpoint_table& endpoints, const std::vector<endpoint_listing>& listings);

} // namespace guavabay
