#include "quota/quota_allocator.h"

#include <algorithm>
#include <limits>

namespace guavabay {

namespace {

/// An owner that has not reported for this long no longer asks for quota, so that others are not
/// restricted on its behalf. What it holds still counts.
constexpr milliseconds need_expiry{1000};

pool_id pool_of(const service_id& service)
{
    return pool_id(service.str());
}

quota_amount amount_of(const resources& reserved)
{
    return {0, reserved};
}

/// Forgets what shards lack that have not reported for a while.
void expire_needs(const quota_allocator& allocator, quota_record& record, time_point now)
{
    std::erase_if(record.m_unmet_demand, [&](const auto& entry) {
        const auto found = allocator.m_holders.find(service_id(entry.first.str()));
        return found == allocator.m_holders.end() ||
               now - found->second.m_reported_at > need_expiry;
    });
}

/// What counts as running: the known runs, and of the unknown ones at most what was counted for the
/// shard before, because a former owner has started no more.
resources used_at_most(const resources& used, const resources& hidden,
                       const std::optional<resources>& counted_before)
{
    const resources bound = used + hidden;
    return counted_before ? component_min(bound, component_max(used, *counted_before)) : bound;
}

bool is_counted_nowhere_else(const quota_record& record, const pool_id& pool)
{
    return std::all_of(record.m_allocated.begin(), record.m_allocated.end(),
                       [&](const auto& entry) { return entry.first == pool; });
}

/// Answers one need of a shard and updates what counts for it.
quota_grant allocate_one(quota_allocator& allocator, const quota_request& request,
                         const quota_need& need, bool is_known_shard, time_point now)
{
    const auto cap = allocator.m_caps.find(need.m_organisation);
    if (cap == allocator.m_caps.end()) {
        // This host does not know the organisation yet or any more.
        return {need.m_organisation, need.m_held};
    }
    const pool_id pool = pool_of(request.m_service);
    quota_record& record = allocator.m_records[need.m_organisation];
    expire_needs(allocator, record, now);
    std::optional<resources> counted_before;
    if (is_known_shard) {
        const auto found = record.m_allocated.find(pool);
        counted_before = found == record.m_allocated.end() ? resources{} : found->second.m_reserved;
    }
    const resources used = used_at_most(need.m_used, need.m_hidden, counted_before);
    const resources hidden = used - need.m_used;
    resources target = component_max(used, need.m_held + hidden);
    if (is_settled(allocator, now)) {
        // A task that is larger than the cap may run alone.
        const bool is_alone = used == resources{} && is_counted_nowhere_else(record, pool);
        const resources single =
            is_alone ? need.m_largest : component_min(need.m_largest, cap->second);
        // What runs counts as a need, so that a shard with more than its share gets a grant below
        // its use and starts nothing while others lack quota.
        pool_quota_demand demand;
        demand.m_pool = pool;
        demand.m_grant = amount_of(is_alone ? component_max(cap->second, single) : cap->second);
        demand.m_blocked = amount_of(used + need.m_wanted);
        demand.m_single_task = amount_of(single);
        std::set<pool_id> pools = allocator.m_shards;
        for (const auto& [other, amount] : record.m_allocated) {
            pools.insert(other);
        }
        pools.insert(pool);
        record = reallocate_quota(std::move(record), demand, pools);
        const auto found = record.m_allocated.find(pool);
        target = found == record.m_allocated.end() ? resources{} : found->second.m_reserved;
    }
    // The owner learns a smaller grant from the reply, which may be lost. What it holds counts
    // until it reports less.
    const resources counted = component_max(component_max(target, used), need.m_held + hidden);
    if (counted == resources{}) {
        record.m_allocated.erase(pool);
    }
    else {
        record.m_allocated[pool] = amount_of(counted);
    }
    return {need.m_organisation, component_max(target - hidden, resources{})};
}

} // namespace

quota_allocator make_quota_allocator(fencing_token token, duration settle_time, time_point now)
{
    quota_allocator allocator;
    allocator.m_token = token;
    allocator.m_settle_time = settle_time;
    allocator.m_started_at = now;
    return allocator;
}

void set_caps(quota_allocator& allocator, const organisation_directory& organisations,
              const std::set<service_id>& services)
{
    allocator.m_shards.clear();
    for (const service_id& service : services) {
        allocator.m_shards.insert(pool_of(service));
    }
    std::erase_if(allocator.m_caps, [&](const auto& entry) {
        const auto record = allocator.m_records.find(entry.first);
        return record == allocator.m_records.end() || record->second.m_allocated.empty();
    });
    for (const auto& [id, configured] : organisations.all()) {
        allocator.m_caps[id] = configured.m_terms.m_cap;
    }
}

bool is_settled(const quota_allocator& allocator, time_point now)
{
    return now - allocator.m_started_at >= allocator.m_settle_time ||
           std::all_of(allocator.m_shards.begin(), allocator.m_shards.end(),
                       [&](const pool_id& shard) {
                           return allocator.m_holders.contains(service_id(shard.str()));
                       });
}

std::optional<quota_reply> allocate(quota_allocator& allocator, const quota_request& request,
                                    time_point now)
{
    const auto known = allocator.m_holders.find(request.m_service);
    const bool is_known_shard = known != allocator.m_holders.end();
    if (is_known_shard && (request.m_token < known->second.m_token ||
                           (request.m_token == known->second.m_token &&
                            request.m_sequence <= known->second.m_sequence))) {
        return std::nullopt;
    }
    allocator.m_holders[request.m_service] = {request.m_token, request.m_sequence, now};
    ++allocator.m_requests;
    quota_reply reply{allocator.m_token, request.m_sequence, {}};
    std::set<organisation_id> named;
    for (const quota_need& need : request.m_needs) {
        named.insert(need.m_organisation);
        reply.m_grants.push_back(allocate_one(allocator, request, need, is_known_shard, now));
    }
    // An owner leaves out the organisations of which it has, holds and needs nothing.
    for (auto& [id, record] : allocator.m_records) {
        if (!named.contains(id) && record.m_allocated.contains(pool_of(request.m_service))) {
            allocate_one(allocator, request, {id, {}, {}, {}, {}, {}}, is_known_shard, now);
        }
    }
    return reply;
}

resources counted_amount(const quota_allocator& allocator, const organisation_id& organisation,
                         const service_id& service)
{
    const auto record = allocator.m_records.find(organisation);
    if (record == allocator.m_records.end()) {
        return {};
    }
    const auto found = record->second.m_allocated.find(pool_of(service));
    return found == record->second.m_allocated.end() ? resources{} : found->second.m_reserved;
}

} // namespace guavabay
