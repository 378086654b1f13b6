#include "broker/endpoint_table.h"

#include <algorithm>
#include <set>

namespace guavabay {

namespace {

constexpr std::uint32_t consecutive_failures_to_eject = 5;
constexpr seconds min_ejection_time{5}; ///< Doubles with each consecutive ejection.
constexpr seconds max_ejection_time{60};
constexpr seconds slow_start_time{10};

/// An ejection leaves at most one endpoint in this many unavailable.
constexpr std::size_t endpoints_per_ejection = 3;

/// Returns true while an endpoint takes no new requests because it is leaving or ejected.
bool is_unavailable(const endpoint_state& endpoint, time_point now)
{
    return endpoint.m_listing.m_leaving || now < endpoint.m_ejected_until;
}

/// Returns how long an endpoint is ejected after the given number of consecutive ejections.
duration ejection_time(std::uint32_t ejections)
{
    duration length = min_ejection_time;
    for (std::uint32_t i = 0; i < ejections && length < max_ejection_time; ++i) {
        length *= 2;
    }
    return std::min<duration>(length, max_ejection_time);
}

} // namespace

std::uint32_t usable_slots(const endpoint_state& endpoint, time_point now)
{
    if (is_unavailable(endpoint, now)) {
        return 0;
    }
    const std::uint32_t slots = endpoint.m_listing.m_slots;
    if (endpoint.m_slow_start_at == time_point{} || slots == 0) {
        return slots;
    }
    const duration elapsed = now - endpoint.m_slow_start_at;
    if (elapsed >= slow_start_time) {
        return slots;
    }
    const auto available = static_cast<std::uint32_t>(slots * elapsed / duration(slow_start_time));
    return std::max<std::uint32_t>(1, available);
}

endpoint_state* pick_endpoint(endpoint_table& endpoints, const zone_id& zone,
                              const std::vector<endpoint_id>& excluded, time_point now)
{
    endpoint_state* best = nullptr;
    bool best_is_local = false;
    double best_load = 0;
    for (auto& [id, endpoint] : endpoints) {
        const std::uint32_t usable = usable_slots(endpoint, now);
        const bool is_excluded = std::find(excluded.begin(), excluded.end(), id) != excluded.end();
        if (endpoint.m_slots_in_use >= usable || is_excluded) {
            continue;
        }
        const bool local = endpoint.m_listing.m_zone == zone;
        const double load = static_cast<double>(endpoint.m_slots_in_use) / usable;
        const bool better = local != best_is_local ? local : load < best_load;
        if (best == nullptr || better) {
            best = &endpoint;
            best_is_local = local;
            best_load = load;
        }
    }
    return best;
}

bool has_free_slot(const endpoint_table& endpoints, time_point now)
{
    return std::any_of(endpoints.begin(), endpoints.end(), [now](const auto& entry) {
        return entry.second.m_slots_in_use < usable_slots(entry.second, now);
    });
}

void record_outcome(endpoint_table& endpoints, const endpoint_id& id, bool answered, time_point now)
{
    const auto found = endpoints.find(id);
    if (found == endpoints.end()) {
        return;
    }
    endpoint_state& endpoint = found->second;
    if (answered) {
        endpoint.m_consecutive_failures = 0;
        endpoint.m_consecutive_ejections = 0;
        return;
    }
    ++endpoint.m_consecutive_failures;
    if (endpoint.m_consecutive_failures < consecutive_failures_to_eject) {
        return;
    }
    std::size_t unavailable = 0;
    for (const auto& [other_id, other] : endpoints) {
        unavailable += is_unavailable(other, now) ? 1U : 0U;
    }
    if ((unavailable + 1) * endpoints_per_ejection > endpoints.size()) {
        return;
    }
    endpoint.m_ejected_until = now + ejection_time(endpoint.m_consecutive_ejections);
    endpoint.m_slow_start_at = endpoint.m_ejected_until;
    endpoint.m_consecutive_failures = 0;
    ++endpoint.m_consecutive_ejections;
}

std::uint32_t total_usable_slots(const endpoint_table& endpoints, time_point now)
{
    std::uint32_t total = 0;
    for (const auto& [id, endpoint] : endpoints) {
        total += usable_slots(endpoint, now);
    }
    return total;
}

void apply_listings(endpoint_table& endpoints, const std::vector<endpoint_listing>& listings)
{
    std::set<endpoint_id> listed;
    for (const endpoint_listing& listing : listings) {
        listed.insert(listing.m_id);
        endpoints[listing.m_id].m_listing = listing;
    }
    for (auto it = endpoints.begin(); it != endpoints.end();) {
        if (listed.contains(it->first)) {
            ++it;
            continue;
        }
        it->second.m_listing.m_leaving = true;
        it = it->second.m_slots_in_use == 0 ? endpoints.erase(it) : std::next(it);
    }
}

} // namespace guavabay
