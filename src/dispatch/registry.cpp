#include "dispatch/registry.h"

#include "core/result.h"
#include "dispatch/retry_pause.h"
#include "log/log.h"
#include "platform/store_calls.h"

namespace guavabay {

namespace {

/// Lease of a host's records. A killed owner's shards are taken over after it; it has to outlast
/// a slow store and a slow host.
constexpr milliseconds host_lease{1600};
constexpr milliseconds keep_interval{400};
constexpr milliseconds keep_time{700};
constexpr milliseconds call_time{1200};

/// A proof counts until this long before the lease can end at the store.
constexpr milliseconds proof_margin{60};

/// After its start a host waits this long before it takes shards, so that all that start together
/// are registered.
constexpr milliseconds settle_time{500};

/// The next candidate takes a shard when the one before it has not done so for this long.
constexpr milliseconds rank_delay{600};
constexpr milliseconds review_interval{100};

} // namespace

registry::registry(asio::io_context& context, store_client& store, host_record self,
                   milliseconds least_lease, handlers handlers)
    : m_context(context), m_store(store), m_self(std::move(self)),
      m_time_to_live(std::max(host_lease, least_lease)), m_handlers(std::move(handlers)),
      m_watch(context, store, std::string(registry_prefix),
              [this](const std::vector<std::string>& keys) { take_changes(keys); })
{
}

void registry::start()
{
    m_started = read_boot_clock();
    m_watch.start();
    asio::co_spawn(m_context, keep_lease(), asio::detached);
    asio::co_spawn(m_context, review(), asio::detached);
}

void registry::set_shards(std::set<service_id> shards)
{
    m_shards = std::move(shards);
}

const owner_record* registry::owner_of(const service_id& shard) const
{
    const auto found = m_owners.find(shard);
    return found == m_owners.end() ? nullptr : &found->second;
}

void registry::lose_all(const char* reason)
{
    for (const service_id& shard : std::set<service_id>(m_owned)) {
        log_warning("owner: shard lost shard=" + shard.str() + " reason=" + reason);
        m_owned.erase(shard);
        m_handlers.m_lost(shard);
    }
}

void registry::offer_owner(const service_id& shard, const owner_record& owner)
{
    const auto found = m_owners.find(shard);
    if (found == m_owners.end() || found->second.m_revision < owner.m_revision) {
        m_owners[shard] = owner;
    }
}

void registry::take_changes(const std::vector<std::string>& keys)
{
    const std::string members = member_key(host_id());
    const std::string owners = owner_key(service_id());
    for (const std::string& key : keys) {
        const auto item = m_watch.items().find(key);
        std::optional<host_record> record;
        if (item != m_watch.items().end()) {
            record = decode_host_record(item->second.m_value);
            if (!record) {
                log_warning("registry: " + key + ": " + last_reason());
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
        if (!key.starts_with(owners)) {
            continue;
        }
        const service_id shard(key.substr(owners.size()));
        const bool mine = record && record->m_host == m_self.m_host &&
                          record->m_incarnation == m_self.m_incarnation;
        if (record) {
            m_owners[shard] = {*record, item->second.m_created};
        }
        else {
            m_owners.erase(shard);
        }
        if (m_owned.contains(shard) && !mine) {
            log_warning("owner: shard lost shard=" + shard.str() + " reason=record changed");
            m_owned.erase(shard);
            m_handlers.m_lost(shard);
        }
        else if (mine && !m_owned.contains(shard) && !m_ended) {
            m_owned.insert(shard);
            log_info("owner: shard gained shard=" + shard.str() +
                     " token=" + std::to_string(item->second.m_created.get()));
            m_handlers.m_gained(shard, item->second.m_created);
        }
    }
}

asio::awaitable<bool> registry::take_lease()
{
    const http_answer answer =
        co_await m_store.call(platform::encode_grant(m_time_to_live), call_time);
    const time_point answered = read_boot_clock();
    const auto granted = platform::decode_grant(answer);
    if (!granted) {
        co_return false;
    }
    m_lease = granted->first;
    m_time_to_live = granted->second;
    store_commit commit;
    commit.m_puts.push_back({member_key(m_self.m_host), encode_host_record(m_self), m_lease});
    const http_answer written = co_await m_store.call(platform::encode_commit(commit), call_time);
    const commit_result result = platform::decode_commit(written);
    if (result.m_outcome != commit_outcome::done) {
        m_lease = lease_id();
        co_return false;
    }
    (void)answered;
    co_return true;
}

asio::awaitable<void> registry::keep_lease()
{
    asio::steady_timer timer(m_context);
    retry_pause pause(milliseconds(100), milliseconds(400));
    while (!m_ended) {
        milliseconds wait = keep_interval;
        if (m_lease == lease_id()) {
            if (co_await take_lease()) {
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
                co_await m_store.call(platform::encode_keep(lease), keep_time);
            switch (platform::decode_keep(answer)) {
            case platform::keep_outcome::kept:
                m_proven_until = std::max(m_proven_until, sent + m_time_to_live - proof_margin);
                pause.reset();
                break;
            case platform::keep_outcome::ended:
                log_warning("registry: the lease ended");
                m_lease = lease_id();
                m_proven_until = {};
                lose_all("lease ended");
                wait = milliseconds(0);
                break;
            case platform::keep_outcome::failed:
                wait = pause.next();
                break;
            }
        }
        timer.expires_after(wait);
        error_code ignored;
        co_await timer.async_wait(to_coroutine(ignored));
    }
}

asio::awaitable<void> registry::review()
{
    asio::steady_timer timer(m_context);
    while (!m_ended) {
        timer.expires_after(review_interval);
        error_code ignored;
        co_await timer.async_wait(to_coroutine(ignored));
        const time_point now = read_boot_clock();
        if (!m_watch.is_loaded() || m_lease == lease_id() || now < m_started + settle_time ||
            m_self.m_leaving || now > m_proven_until) {
            continue;
        }
        for (const service_id& shard : m_shards) {
            const auto owner = m_owners.find(shard);
            const bool own_former_life = owner != m_owners.end() &&
                                         owner->second.m_host.m_host == m_self.m_host &&
                                         owner->second.m_host.m_incarnation != m_self.m_incarnation;
            if (owner != m_owners.end() && !own_former_life) {
                m_without_owner.erase(shard);
                continue;
            }
            const time_point since = m_without_owner.try_emplace(shard, now).first->second;
            const std::optional<std::size_t> rank =
                takeover_rank(m_members, m_owners, shard, m_self.m_host);
            const bool turn =
                own_former_life || (rank && now - since >= static_cast<int>(*rank) * rank_delay);
            if (turn && !m_taking.contains(shard)) {
                m_taking.insert(shard);
                asio::co_spawn(m_context, try_take(shard), asio::detached);
            }
        }
    }
}

asio::awaitable<void> registry::try_take(service_id shard)
{
    const auto owner = m_owners.find(shard);
    store_commit commit;
    const std::string key = owner_key(shard);
    // A record of this host's former life is replaced: that process has ended.
    const bool replace = owner != m_owners.end();
    if (replace) {
        commit.m_guards.emplace_back(key, owner->second.m_revision);
        commit.m_removes.push_back(key);
    }
    else {
        commit.m_guards.emplace_back(key, revision());
        commit.m_puts.push_back({key, encode_host_record(m_self), m_lease});
    }
    const http_answer answer = co_await m_store.call(platform::encode_commit(commit), call_time);
    const commit_result result = platform::decode_commit(answer);
    if (result.m_outcome == commit_outcome::done && !replace) {
        store_item item{
            key, encode_host_record(m_self), result.m_revision, result.m_revision, m_lease, false};
        m_watch.apply_if_newer(std::move(item));
    }
    else if (result.m_outcome != commit_outcome::done) {
        log_info("owner: taking a shard failed shard=" + shard.str() +
                 " outcome=" + std::to_string(static_cast<int>(result.m_outcome)));
        m_watch.refresh();
        asio::steady_timer timer(m_context, review_interval);
        error_code ignored;
        co_await timer.async_wait(to_coroutine(ignored));
    }
    m_taking.erase(shard);
}

asio::awaitable<void> registry::leave()
{
    m_self.m_leaving = true;
    if (m_lease == lease_id()) {
        co_return;
    }
    store_commit commit;
    commit.m_puts.push_back({member_key(m_self.m_host), encode_host_record(m_self), m_lease});
    co_await m_store.call(platform::encode_commit(commit), call_time);
}

asio::awaitable<void> registry::end()
{
    m_ended = true;
    if (m_lease != lease_id()) {
        co_await m_store.call(platform::encode_end_lease(m_lease), call_time);
    }
}

} // namespace guavabay
