#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/ids.h"
#include "core/time.h"

namespace guavabay {

/// Store record of one incarnation (process lifetime) of an entry host.
struct host_record {
    host_id m_host;
    std::uint64_t m_incarnation = 0;
    std::string m_peer_address;
    zone_id m_zone;
    bool m_leaving = false; ///< Shuts down and takes no further shards.
    double m_capacity = 1;  ///< Share of shards it can serve, relative to other hosts.
};

/// Owner of a shard according to the shard's store record.
struct owner_record {
    host_record m_host;
    revision m_revision; ///< Creation revision of the record, used as the owner's fencing token.
};

/// Encodes a host record for the store.
std::string encode_host_record(const host_record& record);

/// Decodes a host record; empty with a reason if it is malformed.
std::optional<host_record> decode_host_record(std::string_view bytes);

/// Common key prefix of the records of hosts and shard owners.
inline constexpr std::string_view registry_prefix = "c/";

/// Store key of a host's record.
std::string member_key(const host_id& host);

/// Store key of a shard's owner record.
std::string owner_key(const service_id& service);

/// Rank of a host among the candidates for a shard without an owner; 0 claims first. Candidates are
/// ordered by the shards that they would own relative to their capacity, then by a hash, so that
/// all hosts compute the same order from the same records. Empty with a reason if the host is
/// leaving or not registered.
std::optional<std::size_t> takeover_rank(const std::map<host_id, host_record>& members,
                                         const std::map<service_id, owner_record>& owners,
                                         const service_id& shard, const host_id& self);

/// Ranks of a host among the candidates for shards without an owner, by shard. For the ranking of
/// each shard the ones before it count as owned by their first candidates, so that shards which
/// lose their owners at the same time get different hosts. Empty if the host is leaving or not
/// registered.
std::map<service_id, std::size_t> takeover_ranks(const std::map<host_id, host_record>& members,
                                                 std::map<service_id, owner_record> owners,
                                                 const std::set<service_id>& ownerless,
                                                 const host_id& self);

/// Returns a shard that a host should release because another host that is not leaving owns at
/// least two fewer and has no less capacity; empty with a reason if there is none.
std::optional<service_id> find_surplus_shard(const std::map<host_id, host_record>& members,
                                             const std::map<service_id, owner_record>& owners,
                                             const host_id& self);

} // namespace guavabay
