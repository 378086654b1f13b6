#include "dispatch/prefix_watch.h"

#include <set>

#include "core/result.h"
#include "dispatch/retry_backoff.h"
#include "log/log.h"
#include "net/spawn.h"
#include "platform/store_calls.h"

namespace guavabay {

namespace {

/// The store begins to answer a long poll after at most watch_timeout. A call without an answer
/// after another watch_timeout_margin indicates a dead connection and fails.
constexpr milliseconds watch_timeout{1500};
constexpr milliseconds watch_timeout_margin{600};

/// Superseded versions of records cost more than another read if they are larger than this in
/// total.
constexpr std::size_t max_superseded_bytes = 16U << 10U;

/// Time limit until the answer with one page of records begins.
constexpr milliseconds read_timeout{1500};

} // namespace

prefix_watch::prefix_watch(asio::io_context& context, store_client& store, std::string prefix,
                           change_handler handler, milliseconds min_interval)
    : m_context(context), m_store(store), m_prefix(std::move(prefix)),
      m_handler(std::move(handler)), m_min_interval(min_interval), m_retry_timer(context)
{
}

void prefix_watch::start()
{
    spawn_loop(m_context, "a watch of the store", [this] { return run(); });
}

void prefix_watch::refresh()
{
    m_refresh_requested = true;
    m_retry_timer.cancel();
}

void prefix_watch::pause()
{
    m_paused = true;
    m_is_loaded = false;
}

void prefix_watch::resume()
{
    m_paused = false;
    m_retry_timer.cancel();
}

void prefix_watch::apply_if_newer(store_item item)
{
    const auto found = m_items.find(item.m_key);
    if (found != m_items.end() && found->second.m_revision >= item.m_revision) {
        return;
    }
    const std::string key = item.m_key;
    m_items[key] = std::move(item);
    notify({key});
}

void prefix_watch::notify(const std::vector<std::string>& keys)
{
    if (!keys.empty()) {
        m_handler(keys);
    }
}

asio::awaitable<void> prefix_watch::run()
{
    retry_backoff backoff;
    bool load_next = true;
    read_outcome outcome = read_outcome::failed;
    error_code ignored;
    while (true) {
        if (m_paused) {
            m_retry_timer.expires_at(asio::steady_timer::time_point::max());
            co_await m_retry_timer.async_wait(to_coroutine(ignored));
            continue;
        }
        m_refresh_requested = false;
        m_received_bytes = 0;
        const time_point started_at = read_boot_clock();
        const bool is_load = load_next || !m_is_loaded;
        if (is_load) {
            outcome = co_await load_all(outcome == read_outcome::behind);
        }
        else {
            outcome = co_await wait_for_changes();
        }
        load_next = outcome != read_outcome::current || (!is_load && m_refresh_requested);
        if (outcome != read_outcome::failed) {
            backoff.reset();
            const duration rest = started_at + m_min_interval - read_boot_clock();
            if (!m_paused && rest > duration(0)) {
                m_retry_timer.expires_after(std::chrono::ceil<milliseconds>(rest));
                co_await m_retry_timer.async_wait(to_coroutine(ignored));
            }
            continue;
        }
        const duration taken = read_boot_clock() - started_at;
        log_info("store: watch of prefix " + m_prefix + " failed and is retried: " + last_reason() +
                 " step=" + (is_load ? "load" : "changes") + " after_ms=" +
                 std::to_string(std::chrono::duration_cast<milliseconds>(taken).count()) +
                 " received_bytes=" + std::to_string(m_received_bytes));
        m_retry_timer.expires_after(backoff.next());
        co_await m_retry_timer.async_wait(to_coroutine(ignored));
    }
}

asio::awaitable<prefix_watch::read_outcome> prefix_watch::load_all(bool was_behind)
{
    std::map<std::string, store_item> listed;
    revision as_of;
    std::string after;
    bool has_more = true;
    while (has_more) {
        const http_answer answer = co_await m_store.call(
            platform::encode_range(m_prefix, after, false), read_timeout, &m_last_received_at);
        m_received_bytes += answer.m_received_bytes;
        range_result page = platform::decode_range(answer);
        if (!page.m_ok) {
            co_return read_outcome::failed;
        }
        if (as_of == revision{}) {
            as_of = page.m_as_of;
        }
        has_more = page.m_more && !page.m_items.empty();
        for (store_item& item : page.m_items) {
            after = item.m_key;
            listed[item.m_key] = std::move(item);
        }
    }
    if (as_of < m_as_of) {
        fail("the store returned an older revision than a previous read");
        co_return read_outcome::failed;
    }
    std::vector<std::string> changed;
    std::size_t changed_bytes = 0;
    for (auto it = m_items.begin(); it != m_items.end();) {
        // A missing record that is newer than this read came from a peer and stays.
        if (!listed.contains(it->first) && it->second.m_revision <= as_of) {
            changed.push_back(it->first);
            it = m_items.erase(it);
        }
        else {
            ++it;
        }
    }
    for (auto& [key, item] : listed) {
        store_item& cached = m_items[key];
        if (cached.m_revision < item.m_revision) {
            cached = std::move(item);
            changed_bytes += cached.m_value.size();
            changed.push_back(key);
        }
    }
    m_as_of = as_of;
    m_is_loaded = !m_paused;
    notify(changed);
    // Changes that came during the last transfer suggest that there were more during this one.
    const bool is_behind = was_behind && changed_bytes > max_superseded_bytes;
    co_return is_behind ? read_outcome::behind : read_outcome::current;
}

asio::awaitable<prefix_watch::read_outcome> prefix_watch::wait_for_changes()
{
    const http_answer answer =
        co_await m_store.call(platform::encode_watch(m_prefix, m_as_of, watch_timeout),
                              watch_timeout + watch_timeout_margin, &m_last_received_at);
    m_received_bytes += answer.m_received_bytes;
    range_result changes = platform::decode_watch(answer);
    if (!changes.m_ok) {
        co_return read_outcome::failed;
    }
    std::set<std::string> changed;
    std::size_t superseded_bytes = 0;
    for (store_item& item : changes.m_items) {
        const auto found = m_items.find(item.m_key);
        if (found != m_items.end() && found->second.m_revision >= item.m_revision) {
            continue;
        }
        if (!changed.insert(item.m_key).second && found != m_items.end()) {
            superseded_bytes += found->second.m_value.size();
        }
        if (item.m_removed) {
            m_items.erase(item.m_key);
        }
        else {
            const std::string key = item.m_key;
            m_items[key] = std::move(item);
        }
    }
    m_as_of = std::max(m_as_of, changes.m_as_of);
    notify({changed.begin(), changed.end()});
    const bool is_behind = superseded_bytes > max_superseded_bytes;
    co_return is_behind ? read_outcome::behind : read_outcome::current;
}

} // namespace guavabay
