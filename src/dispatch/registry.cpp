#include "dispatch/registry.h"

#include <algorithm>
#include <iterator>

#include "core/result.h"
#include "dispatch/retry_backoff.h"
#include "log/log.h"
#include "net/spawn.h"
#include "platform/store_calls.h"

namespace guavabay {

namespace {

/// Lease of a host's records. The shards of a killed owner are taken over only after it expires; it
/// has to be long enough that a slow store or a slow host does not lose it.
constexpr milliseconds host_lease_ttl{1600};

/// Interval of lease renewals, the time limit of one renewal, and that of other calls to the store.
constexpr milliseconds lease_renewal_interval{400};
constexpr milliseconds lease_renewal_timeout{700};
constexpr milliseconds call_timeout{1200};

/// The lease is treated as expired this long before it can expire at the store.
constexpr milliseconds lease_safety_margin{60};

/// Delay before a host claims shards after its start, so that hosts that start together are all
/// registered and share the shards.
constexpr milliseconds startup_delay{500};

/// Each candidate waits this long for the one ranked before it to claim a shard.
constexpr milliseconds takeover_rank_delay{600};

/// Interval at which shards without an owner are looked for.
constexpr milliseconds claim_interval{100};

} // namespace

registry::registry(asio::io_context& context, store_client& store, host_record self,
                   milliseconds min_lease_ttl, handlers handlers)
    : m_context(context), m_store(store), m_self(std::move(self)),
      m_lease_ttl(std::max(host_lease_ttl, min_lease_ttl)), m_handlers(std::move(handlers)),
      m_watch(context, store, std::string(registry_prefix),
              [this](const std::vector<std::string>& keys) { apply_changes(keys); })
{
}

void registry::start()
{
    m_started_at = read_boot_clock();
    m_watch.start();
    spawn_loop(m_context, "the renewal of the lease", [this] { return renew_lease_loop(); });
    spawn_loop(m_context, "the claims of shards", [this] { return claim_shards_loop(); });
}

void registry::set_shards(std::set<service_id> shards)
{
    m_shards = std::move(shards);
}

const owner_record* registry::find_owner(const service_id& shard) const
{
    const auto found = m_owners.find(shard);
    return found == m_owners.end() ? nullptr : &found->second;
}

void registry::drop_all_shards(const char* reason)
{
    for (const service_id& shard : std::set<service_id>(m_owned)) {
        log_warning("owner: shard lost shard=" + shard.str() + " reason=" + reason);
        m_owned.erase(shard);
        m_handlers.m_lost(shard);
    }
}

void registry::update_owner(const service_id& shard, const owner_record& owner)
{
    const auto found = m_owners.find(shard);
    if (found == m_owners.end() || found->second.m_revision < owner.m_revision) {
        m_owners[shard] = owner;
    }
}

void registry::update_holders(const std::vector<std::string>& keys)
{
    for (const std::string& key : keys) {
        const auto item = m_watch.items().find(key);
        if (item != m_watch.items().end()) {
            add_holder(m_holders, key, item->second.m_value);
        }
        else {
            remove_holder(m_holders, key);
        }
    }
    std::set<service_id> shards = all_holders(m_holders);
    if (shards != m_holding_shards) {
        m_holding_shards = std::move(shards);
        m_handlers.m_holders_changed();
    }
}

std::set<service_id> registry::needed_shards() const
{
    // Without a configuration this host does not claim anything.
    std::set<service_id> shards = m_shards;
    if (shards.empty()) {
        return shards;
    }
    shards.insert(m_holding_shards.begin(), m_holding_shards.end());
    return shards;
}

void registry::apply_changes(const std::vector<std::string>& keys)
{
    update_holders(keys);
    const std::string members = member_key(host_id());
    const std::string owners = owner_key(service_id());
    for (const std::string& key : keys) {
        if (!key.starts_with(members) && !key.starts_with(owners)) {
            continue;
        }
        const auto item = m_watch.items().find(key);
        std::optional<host_record> record;
        if (item != m_watch.items().end()) {
            record = decode_host_record(item->second.m_value);
            if (!record) {
                log_warning("registry: cannot decode record " + key + ": " + last_reason());
            }
        }
        if (key.starts_with(members)) {
            const host_id host(key.substr(members.size()));
            if (record) {
                m_members[host] = *record;
            }
            else {
                m_members.erase(host);
            }
            continue;
        }
        const service_id shard(key.substr(owners.size()));
        const bool owned_here = record && record->m_host == m_self.m_host &&
                                record->m_incarnation == m_self.m_incarnation;
        if (record) {
            m_owners[shard] = {*record, item->second.m_created};
        }
        else {
            m_owners.erase(shard);
        }
        if (m_owned.contains(shard) && !owned_here) {
            log_warning("owner: shard lost shard=" + shard.str() + " reason=record changed");
            m_owned.erase(shard);
            m_handlers.m_lost(shard);
        }
        else if (owned_here && !m_owned.contains(shard) && !m_ended) {
            m_owned.insert(shard);
            log_info("owner: shard gained shard=" + shard.str() +
                     " token=" + std::to_string(item->second.m_created.get()));
            m_handlers.m_gained(shard, item->second.m_created);
        }
    }
}

asio::awaitable<bool> registry::acquire_lease()
{
    const http_answer answer =
        co_await m_store.call(platform::encode_grant_lease(m_lease_ttl), call_timeout);
    const time_point answered = read_boot_clock();
    const auto granted = platform::decode_granted_lease(answer);
    if (!granted) {
        co_return false;
    }
    m_lease = granted->first;
    m_lease_ttl = granted->second;
    store_commit commit;
    commit.m_puts.push_back({member_key(m_self.m_host), encode_host_record(m_self), m_lease});
    const http_answer written =
        co_await m_store.call(platform::encode_commit(commit), call_timeout);
    const commit_result result = platform::decode_commit(written);
    if (result.m_outcome != commit_outcome::done) {
        m_lease = lease_id();
        co_return false;
    }
    (void)answered;
    co_return true;
}

asio::awaitable<void> registry::renew_lease_loop()
{
    asio::steady_timer timer(m_context);
    retry_backoff pause(milliseconds(100), milliseconds(400));
    while (!m_ended) {
        milliseconds wait = lease_renewal_interval;
        if (m_lease == lease_id()) {
            if (co_await acquire_lease()) {
                log_info("registry: registered lease=" + std::to_string(m_lease.get()));
                pause.reset();
                wait = milliseconds(0);
            }
            else {
                wait = pause.next();
            }
        }
        else {
            const time_point sent = read_boot_clock();
            const lease_id lease = m_lease;
            const http_answer answer =
                co_await m_store.call(platform::encode_renew_lease(lease), lease_renewal_timeout);
            switch (platform::decode_lease_renewal(answer)) {
            case platform::lease_renewal_outcome::renewed:
                m_lease_valid_until =
                    std::max(m_lease_valid_until, sent + m_lease_ttl - lease_safety_margin);
                pause.reset();
                break;
            case platform::lease_renewal_outcome::ended:
                log_warning("registry: lease expired at the store; registering again lease=" +
                            std::to_string(lease.get()));
                m_lease = lease_id();
                m_lease_valid_until = {};
                drop_all_shards("lease ended");
                wait = milliseconds(0);
                break;
            case platform::lease_renewal_outcome::failed:
                wait = pause.next();
                break;
            }
        }
        timer.expires_after(wait);
        error_code ignored;
        co_await timer.async_wait(to_coroutine(ignored));
    }
}

asio::awaitable<void> registry::claim_shards_loop()
{
    asio::steady_timer timer(m_context);
    while (!m_ended) {
        timer.expires_after(claim_interval);
        error_code ignored;
        co_await timer.async_wait(to_coroutine(ignored));
        const time_point now = read_boot_clock();
        if (!m_watch.is_loaded() || m_lease == lease_id() || now < m_started_at + startup_delay ||
            m_self.m_leaving || now > m_lease_valid_until) {
            continue;
        }
        const std::set<service_id> shards = needed_shards();
        std::set<service_id> ownerless;
        std::copy_if(shards.begin(), shards.end(), std::inserter(ownerless, ownerless.end()),
                     [this](const service_id& shard) { return !m_owners.contains(shard); });
        const std::map<service_id, std::size_t> ranks =
            takeover_ranks(m_members, m_owners, ownerless, m_self.m_host);
        for (const service_id& shard : shards) {
            const auto owner = m_owners.find(shard);
            const bool owned_by_previous_incarnation =
                owner != m_owners.end() && owner->second.m_host.m_host == m_self.m_host &&
                owner->second.m_host.m_incarnation != m_self.m_incarnation;
            if (owner != m_owners.end() && !owned_by_previous_incarnation) {
                m_ownerless_since.erase(shard);
                continue;
            }
            const time_point since = m_ownerless_since.try_emplace(shard, now).first->second;
            const auto rank = ranks.find(shard);
            const bool may_claim =
                owned_by_previous_incarnation ||
                (rank != ranks.end() &&
                 now - since >= static_cast<int>(rank->second) * takeover_rank_delay);
            if (may_claim && !m_claims_in_flight.contains(shard)) {
                m_claims_in_flight.insert(shard);
                spawn(m_context, "a claim of a shard", claim_shard(shard));
            }
        }
    }
}

asio::awaitable<void> registry::claim_shard(service_id shard)
{
    const auto owner = m_owners.find(shard);
    store_commit commit;
    const std::string key = owner_key(shard);
    // The record of a previous incarnation of this host can be removed at once, since that process
    // has ended. The shard is claimed in a later round.
    const bool replace = owner != m_owners.end();
    if (replace) {
        commit.m_guards.emplace_back(key, owner->second.m_revision);
        commit.m_removes.push_back(key);
    }
    else {
        commit.m_guards.emplace_back(key, revision());
        commit.m_puts.push_back({key, encode_host_record(m_self), m_lease});
    }
    const http_answer answer = co_await m_store.call(platform::encode_commit(commit), call_timeout);
    const commit_result result = platform::decode_commit(answer);
    if (result.m_outcome == commit_outcome::done && !replace) {
        store_item item{
            key, encode_host_record(m_self), result.m_revision, result.m_revision, m_lease, false};
        m_watch.apply_if_newer(std::move(item));
    }
    else if (result.m_outcome != commit_outcome::done) {
        log_info("owner: claiming a shard failed shard=" + shard.str() +
                 " outcome=" + std::to_string(static_cast<int>(result.m_outcome)));
        m_watch.refresh();
        asio::steady_timer timer(m_context, claim_interval);
        error_code ignored;
        co_await timer.async_wait(to_coroutine(ignored));
    }
    m_claims_in_flight.erase(shard);
}

asio::awaitable<void> registry::announce_leaving()
{
    m_self.m_leaving = true;
    if (m_lease == lease_id()) {
        co_return;
    }
    store_commit commit;
    commit.m_puts.push_back({member_key(m_self.m_host), encode_host_record(m_self), m_lease});
    co_await m_store.call(platform::encode_commit(commit), call_timeout);
}

asio::awaitable<void> registry::end_lease()
{
    m_ended = true;
    if (m_lease != lease_id()) {
        co_await m_store.call(platform::encode_end_lease(m_lease), call_timeout);
    }
}

} // namespace guavabay
