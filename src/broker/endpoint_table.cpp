#include "broker/endpoint_table.h"

#include <algorithm>
#include <set>

namespace guavabay {

namespace {

constexpr std::uint32_t failures_to_eject = 5;
constexpr seconds first_ejection{5};
constexpr seconds longest_ejection{60};
constexpr seconds slow_start_length{10};
constexpr std::size_t ejected_share = 3; ///< At most one endpoint in this many is out.

bool is_out(const endpoint_state& endpoint, time_point now)
{
    return endpoint.m_listing.m_leaving || now < endpoint.m_ejected_until;
}

duration ejection_length(std::uint32_t ejections)
{
    duration length = first_ejection;
    for (std::uint32_t i = 0; i < ejections && length < longest_ejection; ++i) {
        length *= 2;
    }
    return std::min<duration>(length, longest_ejection);
}

} // namespace

std::uint32_t usable_slots(const endpoint_state& endpoint, time_point now)
{
    if (is_out(endpoint, now)) {
        return 0;
    }
    const std::uint32_t slots = endpoint.m_listing.m_slots;
    if (endpoint.m_returned_at == time_point{} || slots == 0) {
        return slots;
    }
    const duration since = now - endpoint.m_returned_at;
    if (since >= slow_start_length) {
        return slots;
    }
    const auto opened = static_cast<std::uint32_t>(slots * since / duration(slow_start_length));
    return std::max<std::uint32_t>(1, opened);
}

endpoint_state* pick_endpoint(endpoint_table& endpoints, const zone_id& zone,
                              const std::vector<endpoint_id>& excluded, time_point now)
{
    endpoint_state* best = nullptr;
    bool best_is_local = false;
    double best_load = 0;
    for (auto& [id, endpoint] : endpoints) {
        const std::uint32_t usable = usable_slots(endpoint, now);
        const bool tried = std::find(excluded.begin(), excluded.end(), id) != excluded.end();
        if (endpoint.m_used >= usable || tried) {
            continue;
        }
        const bool local = endpoint.m_listing.m_zone == zone;
        const double load = static_cast<double>(endpoint.m_used) / usable;
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
        return entry.second.m_used < usable_slots(entry.second, now);
    });
}

void note_outcome(endpoint_table& endpoints, const endpoint_id& id, bool answered, time_point now)
{
    const auto found = endpoints.find(id);
    if (found == endpoints.end()) {
        return;
    }
    endpoint_state& endpoint = found->second;
    if (answered) {
        endpoint.m_failures = 0;
        endpoint.m_ejections = 0;
        return;
    }
    ++endpoint.m_failures;
    if (endpoint.m_failures < failures_to_eject) {
        return;
    }
    std::size_t out = 0;
    for (const auto& [other_id, other] : endpoints) {
        out += is_out(other, now) ? 1U : 0U;
    }
    if ((out + 1) * ejected_share > endpoints.size()) {
        return;
    }
    endpoint.m_ejected_until = now + ejection_length(endpoint.m_ejections);
    endpoint.m_returned_at = endpoint.m_ejected_until;
    endpoint.m_failures = 0;
    ++endpoint.m_ejections;
}

std::uint32_t total_slots(const endpoint_table& endpoints, time_point now)
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
        it = it->second.m_used == 0 ? endpoints.erase(it) : std::next(it);
    }
}

} // namespace guavabay
