#pragma once

#include <functional>
#include <set>

#include "dispatch/ownership.h"
#include "dispatch/prefix_watch.h"

namespace guavabay {

/// This host's lease at the store, its record among the members, and the owners of all shards.
class registry {
public:
    /// This host became the owner of a shard, under a token, or is no longer.
    struct handlers {
        std::function<void(const service_id&, revision)> m_gained;
        std::function<void(const service_id&)> m_lost;
    };

    /// Makes a registry for a host; nothing is sent before start.
    registry(asio::io_context& context, store_client& store, host_record self,
             milliseconds least_lease, handlers handlers);

    /// Begins to register and to follow.
    void start();

    /// The shards that need owners.
    void set_shards(std::set<service_id> shards);

    /// The owner of a shard as last read; null when there is none.
    [[nodiscard]] const owner_record* owner_of(const service_id& shard) const;

    /// Until when no other host can have taken this host's shards.
    [[nodiscard]] time_point proven_until() const { return m_proven_until; }

    /// All hosts that are registered.
    [[nodiscard]] const std::map<host_id, host_record>& members() const { return m_members; }

    /// All owners.
    [[nodiscard]] const std::map<service_id, owner_record>& owners() const { return m_owners; }

    /// Tells the others that this host takes no further shards.
    asio::awaitable<void> leave();

    /// Ends the lease, after the last shard was given away.
    asio::awaitable<void> end();

    /// Takes an owner that a peer knows; an older one is ignored.
    void offer_owner(const service_id& shard, const owner_record& owner);

private:
    asio::awaitable<void> keep_lease();
    asio::awaitable<bool> take_lease();
    asio::awaitable<void> review();
    asio::awaitable<void> try_take(service_id shard);
    void take_changes(const std::vector<std::string>& keys);
    void lose_all(const char* reason);

    asio::io_context& m_context;
    store_client& m_store;
    host_record m_self;
    milliseconds m_time_to_live;
    handlers m_handlers;
    prefix_watch m_watch;
    std::set<service_id> m_shards;
    std::map<host_id, host_record> m_members;
    std::map<service_id, owner_record> m_owners;
    std::map<service_id, time_point> m_without_owner;
    std::set<service_id> m_taking;
    std::set<service_id> m_owned;
    lease_id m_lease;
    time_point m_proven_until{};
    time_point m_started{};
    bool m_ended = false;
};

} // namespace guavabay
