#include "dispatch/ownership.h"

#include <algorithm>
#include <cereal/types/string.hpp>
#include <tuple>

#include "core/result.h"
#include "peer/bounded_archive.h"

namespace guavabay {

template <typename Archive>
void serialize(Archive& archive, host_record& value)
{
    archive(value.m_host, value.m_incarnation, value.m_peer_address, value.m_zone, value.m_leaving,
            value.m_capacity);
}

namespace {

/// A host releases a shard if another host owns at least this many fewer.
constexpr std::size_t min_surplus = 2;

/// Lower bound of a host's capacity, which avoids a division by zero.
constexpr double min_capacity = 0.01;

/// Counts the shards that a host owns.
std::size_t count_owned_shards(const std::map<service_id, owner_record>& owners,
                               const host_id& host)
{
    return static_cast<std::size_t>(
        std::count_if(owners.begin(), owners.end(),
                      [&](const auto& entry) { return entry.second.m_host.m_host == host; }));
}

/// Hosts that may take over a shard, the first one first.
std::vector<host_id> rank_candidates(const std::map<host_id, host_record>& members,
                                     const std::map<service_id, owner_record>& owners,
                                     const service_id& shard)
{
    std::map<host_id, std::size_t> owned;
    for (const auto& [name, owner] : owners) {
        ++owned[owner.m_host.m_host];
    }
    std::vector<std::tuple<double, std::uint64_t, host_id>> keyed;
    for (const auto& [host, record] : members) {
        if (!record.m_leaving) {
            const auto load = static_cast<double>(owned[host] + 1);
            keyed.emplace_back(load / std::max(record.m_capacity, min_capacity),
                               mix(stable_hash(host.str()), stable_hash(shard.str())), host);
        }
    }
    std::sort(keyed.begin(), keyed.end());
    std::vector<host_id> candidates;
    candidates.reserve(keyed.size());
    for (const auto& [load, hash, host] : keyed) {
        candidates.push_back(host);
    }
    return candidates;
}

} // namespace

std::string encode_host_record(const host_record& record)
{
    std::string bytes;
    bounded_output_archive archive(bytes);
    archive(record);
    return bytes;
}

std::optional<host_record> decode_host_record(std::string_view bytes)
{
    try {
        bounded_input_archive archive(bytes);
        host_record record;
        archive(record);
        return record;
    }
    catch (const std::exception& error) {
        return fail(std::string("malformed host record: ") + error.what());
    }
}

std::string member_key(const host_id& host)
{
    return std::string(registry_prefix) + "member/" + host.str();
}

std::string owner_key(const service_id& service)
{
    return std::string(registry_prefix) + "owner/" + service.str();
}

std::optional<std::size_t> takeover_rank(const std::map<host_id, host_record>& members,
                                         const std::map<service_id, owner_record>& owners,
                                         const service_id& shard, const host_id& self)
{
    const std::vector<host_id> candidates = rank_candidates(members, owners, shard);
    const auto found = std::find(candidates.begin(), candidates.end(), self);
    if (found == candidates.end()) {
        return fail("this host is leaving or not registered");
    }
    return static_cast<std::size_t>(found - candidates.begin());
}

std::map<service_id, std::size_t> takeover_ranks(const std::map<host_id, host_record>& members,
                                                 std::map<service_id, owner_record> owners,
                                                 const std::set<service_id>& ownerless,
                                                 const host_id& self)
{
    std::map<service_id, std::size_t> ranks;
    for (const service_id& shard : ownerless) {
        const std::vector<host_id> candidates = rank_candidates(members, owners, shard);
        const auto found = std::find(candidates.begin(), candidates.end(), self);
        if (found == candidates.end()) {
            return {};
        }
        ranks[shard] = static_cast<std::size_t>(found - candidates.begin());
        owners[shard].m_host = members.at(candidates.front());
    }
    return ranks;
}

std::optional<service_id> find_surplus_shard(const std::map<host_id, host_record>& members,
                                             const std::map<service_id, owner_record>& owners,
                                             const host_id& self)
{
    if (!members.contains(self)) {
        return fail("this host is not registered");
    }
    const std::size_t own = count_owned_shards(owners, self);
    const bool has_surplus = std::any_of(members.begin(), members.end(), [&](const auto& entry) {
        return !entry.second.m_leaving &&
               count_owned_shards(owners, entry.first) + min_surplus <= own &&
               entry.second.m_capacity >= members.at(self).m_capacity;
    });
    if (!has_surplus) {
        return fail("no suitable host owns at least two shards fewer");
    }
    for (const auto& [shard, owner] : owners) {
        if (owner.m_host.m_host == self) {
            return shard;
        }
    }
    return fail("this host owns no shard");
}

} // namespace guavabay
