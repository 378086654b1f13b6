#pragma once

#include <functional>
#include <set>

#include "dispatch/holder_table.h"
#include "dispatch/ownership.h"
#include "dispatch/prefix_watch.h"

namespace guavabay {

/// Registers this host in the store under a lease, follows the records of hosts and shard owners,
/// and claims shards that have no owner. Not safe for concurrent use: runs on one I/O context.
class registry {
public:
    /// Called when this host becomes the owner of a shard, with the fencing token, and when it no
    /// longer is.
    struct handlers {
        std::function<void(const service_id&, revision)> m_gained;
        std::function<void(const service_id&)> m_lost;
        /// Called when a shard was added to those that may hold ids of queues, or removed.
        std::function<void()> m_holders_changed;
    };

    /// Creates a registry for a host, with a lease no shorter than the store's minimum. Sends
    /// nothing before start().
    registry(asio::io_context& context, store_client& store, host_record self,
             milliseconds min_lease_ttl, handlers handlers);

    /// Starts to register the host, to follow the records and to claim shards.
    void start();

    /// Sets the shards that need an owner. Those that may hold ids of submissions need one, too.
    void set_shards(std::set<service_id> shards);

    /// Returns the owner of a shard as last read; null if there is none.
    [[nodiscard]] const owner_record* find_owner(const service_id& shard) const;

    /// Boot-clock time until which the host's lease is known to hold, so that no other host can
    /// have taken its shards.
    [[nodiscard]] time_point lease_valid_until() const { return m_lease_valid_until; }

    /// Returns all registered hosts.
    [[nodiscard]] const std::map<host_id, host_record>& members() const { return m_members; }

    /// Returns the owners of all shards, as last read.
    [[nodiscard]] const std::map<service_id, owner_record>& owners() const { return m_owners; }

    /// Returns the records of which shards may hold ids of which queues.
    [[nodiscard]] const holder_table& holders() const { return m_holders; }

    /// Stops claiming shards and marks the host's record as leaving, so that other hosts no longer
    /// count it as a candidate.
    asio::awaitable<void> announce_leaving();

    /// Stops the loops and ends the lease at the store, which removes the host's records. To be
    /// called after the last shard was released.
    asio::awaitable<void> end_lease();

    /// Takes over an owner that a peer reported, unless the known one is at least as new.
    void update_owner(const service_id& shard, const owner_record& owner);

private:
    /// Acquires the lease and renews it until the registry ends.
    asio::awaitable<void> renew_lease_loop();
    /// Obtains a new lease and writes the host's record under it; false on failure.
    asio::awaitable<bool> acquire_lease();
    /// Looks for shards without an owner at intervals and claims those that are this host's turn.
    asio::awaitable<void> claim_shards_loop();
    /// Tries once to become the owner of a shard.
    asio::awaitable<void> claim_shard(service_id shard);
    /// Updates the holders of queues from changed records.
    void update_holders(const std::vector<std::string>& keys);
    /// All shards that need an owner.
    [[nodiscard]] std::set<service_id> needed_shards() const;
    /// Updates hosts and owners from changed records and reports shards gained and lost.
    void apply_changes(const std::vector<std::string>& keys);
    /// Reports every owned shard as lost.
    void drop_all_shards(const char* reason);

    asio::io_context& m_context;
    store_client& m_store;
    host_record m_self;
    milliseconds m_lease_ttl; ///< As requested, then as granted.
    handlers m_handlers;
    prefix_watch m_watch;
    std::set<service_id> m_shards;
    holder_table m_holders;
    std::set<service_id> m_holding_shards; ///< All shards in the table of holders.
    std::map<host_id, host_record> m_members;
    std::map<service_id, owner_record> m_owners;
    std::map<service_id, time_point> m_ownerless_since; ///< Since when shards have no owner.
    std::set<service_id> m_claims_in_flight;            ///< Shards with an open claim.
    std::set<service_id> m_owned;                       ///< Shards that this host owns.
    lease_id m_lease;                                   ///< Empty without a lease.
    time_point m_lease_valid_until{};
    time_point m_started_at{};
    bool m_ended = false;
};

} // namespace guavabay
