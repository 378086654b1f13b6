#include "dispatch/holder_table.h"

#include <cstdio>
#include <optional>
#include <utility>

#include "dispatch/ownership.h"

namespace guavabay {

namespace {

/// Prefix of the keys of all records.
std::string common_prefix()
{
    return std::string(registry_prefix) + "queue/";
}

/// Name of a queue in keys, which must not be long and must not contain a slash.
std::string hash_of_queue(const queue_id& queue)
{
    char text[17];
    std::snprintf(text, sizeof text, "%016llx",
                  static_cast<unsigned long long>(stable_hash(queue.str())));
    return text;
}

/// Splits the key of a record into the hash of the queue's name and the shard; empty for other
/// keys.
std::optional<std::pair<std::string, service_id>> parse_key(std::string_view key)
{
    const std::string prefix = common_prefix();
    if (!key.starts_with(prefix)) {
        return std::nullopt;
    }
    key.remove_prefix(prefix.size());
    const std::size_t slash = key.find('/');
    if (slash == std::string_view::npos) {
        return std::nullopt;
    }
    return std::pair(std::string(key.substr(0, slash)),
                     service_id(std::string(key.substr(slash + 1))));
}

} // namespace

std::string holder_prefix(const queue_id& queue)
{
    return common_prefix() + hash_of_queue(queue) + "/";
}

std::string holder_key(const queue_id& queue, const service_id& shard)
{
    return holder_prefix(queue) + shard.str();
}

bool add_holder(holder_table& table, std::string_view key, std::string_view value)
{
    const auto holder = parse_key(key);
    if (holder) {
        table.m_holders[holder->first][holder->second] = queue_id(std::string(value));
    }
    return holder.has_value();
}

bool remove_holder(holder_table& table, std::string_view key)
{
    const auto holder = parse_key(key);
    if (!holder) {
        return false;
    }
    const auto found = table.m_holders.find(holder->first);
    if (found != table.m_holders.end()) {
        found->second.erase(holder->second);
        if (found->second.empty()) {
            table.m_holders.erase(found);
        }
    }
    return true;
}

std::set<service_id> holders_of(const holder_table& table, const queue_id& queue)
{
    std::set<service_id> shards;
    const auto found = table.m_holders.find(hash_of_queue(queue));
    if (found != table.m_holders.end()) {
        for (const auto& [shard, name] : found->second) {
            shards.insert(shard);
        }
    }
    return shards;
}

std::set<queue_id> queues_held_by(const holder_table& table, const service_id& shard)
{
    std::set<queue_id> queues;
    for (const auto& [hash, holders] : table.m_holders) {
        const auto found = holders.find(shard);
        if (found != holders.end()) {
            queues.insert(found->second);
        }
    }
    return queues;
}

std::set<service_id> all_holders(const holder_table& table)
{
    std::set<service_id> shards;
    for (const auto& [hash, holders] : table.m_holders) {
        for (const auto& [shard, queue] : holders) {
            shards.insert(shard);
        }
    }
    return shards;
}

} // namespace guavabay
