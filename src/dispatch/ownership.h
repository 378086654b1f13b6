#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/ids.h"
#include "core/time.h"

namespace guavabay {

/// One life of an entry host's process, as its record in the store says.
struct host_record {
    host_id m_host;
    std::uint64_t m_incarnation = 0;
    std::string m_peer_address;
    zone_id m_zone;
    bool m_leaving = false; ///< It takes no further shards.
    double m_capacity = 1;  ///< What it can carry, relative to other hosts.
};

/// Who owns a shard, as the shard's record in the store says.
struct owner_record {
    host_record m_host;
    revision m_revision; ///< The fencing token of the owner.
};

/// Encodes a host's record.
std::string encode_host_record(const host_record& record);

/// Reads a host's record; empty with a reason when it is malformed.
std::optional<host_record> decode_host_record(std::string_view bytes);

/// Where hosts and owners are written.
inline constexpr std::string_view registry_prefix = "c/";
std::string member_key(const host_id& host);
std::string owner_key(const service_id& service);

/// Position of a host among those that may take a shard without an owner; zero is first. Hosts
/// that would own less for what they can carry go first, and a hash decides between equals. Empty
/// when the host may not.
std::optional<std::size_t> takeover_rank(const std::map<host_id, host_record>& members,
                                         const std::map<service_id, owner_record>& owners,
                                         const service_id& shard, const host_id& self);

/// A shard that a host should hand over because others own far fewer; empty for none.
std::optional<service_id> find_surplus_shard(const std::map<host_id, host_record>& members,
                                             const std::map<service_id, owner_record>& owners,
                                             const host_id& self);

} // namespace guavabay
