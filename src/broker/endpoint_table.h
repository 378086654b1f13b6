#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/ids.h"
#include "core/time.h"

namespace guavabay {

/// An endpoint as the platform lists it.
struct endpoint_listing {
    endpoint_id m_id;
    service_id m_service;
    std::string m_address; ///< IP number and port.
    zone_id m_zone;
    rack_id m_rack;
    std::uint32_t m_slots = 0;
    bool m_leaving = false;
};

/// An endpoint together with what its owner observed.
struct endpoint_state {
    endpoint_listing m_listing;
    std::uint32_t m_used = 0;      ///< Slots granted and not yet given back.
    std::uint32_t m_failures = 0;  ///< Failures in a row.
    std::uint32_t m_ejections = 0; ///< Ejections in a row, which lengthen the next one.
    time_point m_ejected_until{};
    time_point m_returned_at{}; ///< Start of the slow start; the epoch when none is under way.
};

/// The endpoints of one service.
using endpoint_table = std::map<endpoint_id, endpoint_state>;

/// Slots that may be in use at an endpoint at this moment; fewer during its slow start.
std::uint32_t usable_slots(const endpoint_state& endpoint, time_point now);

/// Picks an endpoint with a free slot: the caller's zone first, then the least used. Null when
/// no slot is free.
endpoint_state* pick_endpoint(endpoint_table& endpoints, const zone_id& zone,
                              const std::vector<endpoint_id>& excluded, time_point now);

/// True when some endpoint has a free slot.
bool has_free_slot(const endpoint_table& endpoints, time_point now);

/// Notes how a request ended and ejects the endpoint after several failures in a row. Not more
/// than a third of a service's endpoints are out at one time.
void note_outcome(endpoint_table& endpoints, const endpoint_id& id, bool answered, time_point now);

/// All slots of endpoints that take new work.
std::uint32_t total_slots(const endpoint_table& endpoints, time_point now);

/// Replaces the listings, keeping what was observed of endpoints that stay.
void apply_listings(endpoint_table& endpoints, const std::vector<endpoint_listing>& listings);

} // namespace guavabay
