#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>

#include "core/ids.h"
#include "submission/submission.h"

namespace guavabay {

/// The store records that say which shards may hold ids of submissions of which queues, as this
/// host last read them. More than one shard holds ids of a queue for some time after its route was
/// given another service.
struct holder_table {
    /// By hash of the queue's name, then by shard. Queues that share a hash share its holders.
    std::map<std::string, std::map<service_id, queue_id>> m_holders;
};

/// Store key of the record that a shard may hold ids of a queue.
std::string holder_key(const queue_id& queue, const service_id& shard);

/// Common prefix of the store keys of a queue's records.
std::string holder_prefix(const queue_id& queue);

/// Adds a record, given its store key and value. False if the key is not that of such a record.
bool add_holder(holder_table& table, std::string_view key, std::string_view value);

/// Removes a record. False if the key is not that of such a record.
bool remove_holder(holder_table& table, std::string_view key);

/// Returns the shards that may hold ids of a queue.
std::set<service_id> holders_of(const holder_table& table, const queue_id& queue);

/// Returns the queues of which a shard may hold ids.
std::set<queue_id> queues_held_by(const holder_table& table, const service_id& shard);

/// Returns all shards that may hold ids of any queue.
std::set<service_id> all_holders(const holder_table& table);

} // namespace guavabay
