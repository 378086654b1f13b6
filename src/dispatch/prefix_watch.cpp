#include "dispatch/prefix_watch.h"

#include "core/result.h"
#include "dispatch/retry_backoff.h"
#include "log/log.h"
#include "platform/store_calls.h"

namespace guavabay {

namespace {

/// The store begins to answer a long poll after at most watch_timeout. A call without an answer
/// after another watch_timeout_margin indicates a dead connection and fails.
constexpr milliseconds watch_timeout{1500};
constexpr milliseconds watch_timeout_margin{600};

/// Time limit until the answer with one page of records begins.
constexpr milliseconds read_timeout{1500};

} // namespace

prefix_watch::prefix_watch(asio::io_context& context, store_client& store, std::string prefix,
                           change_handler handler)
    : m_context(context), m_store(store), m_prefix(std::move(prefix)),
      m_handler(std::move(handler)), m_retry_timer(context)
{
}

void prefix_watch::start()
{
    asio::co_spawn(m_context, run(), asio::detached);
}

void prefix_watch::refresh()
{
    m_refresh_requested = true;
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
    bool is_current = false;
    while (true) {
        m_refresh_requested = false;
        m_received_bytes = 0;
        const time_point started_at = read_boot_clock();
        const bool was_current = is_current;
        bool ok = false;
        if (!is_current) {
            ok = co_await load_all();
            is_current = ok;
        }
        else {
            ok = co_await wait_for_changes();
            is_current = ok && !m_refresh_requested;
        }
        if (ok) {
            backoff.reset();
            continue;
        }
        const duration taken = read_boot_clock() - started_at;
        log_info("store: watch of prefix " + m_prefix + " failed and is retried: " + last_reason() +
                 " step=" + (was_current ? "changes" : "load") + " after_ms=" +
                 std::to_string(std::chrono::duration_cast<milliseconds>(taken).count()) +
                 " received_bytes=" + std::to_string(m_received_bytes));
        m_retry_timer.expires_after(backoff.next());
        error_code ignored;
        co_await m_retry_timer.async_wait(to_coroutine(ignored));
    }
}

asio::awaitable<bool> prefix_watch::load_all()
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
            co_return false;
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
        co_return false;
    }
    std::vector<std::string> changed;
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
            changed.push_back(key);
        }
    }
    m_as_of = as_of;
    m_is_loaded = true;
    notify(changed);
    co_return true;
}

asio::awaitable<bool> prefix_watch::wait_for_changes()
{
    const http_answer answer =
        co_await m_store.call(platform::encode_watch(m_prefix, m_as_of, watch_timeout),
                              watch_timeout + watch_timeout_margin, &m_last_received_at);
    m_received_bytes += answer.m_received_bytes;
    range_result changes = platform::decode_watch(answer);
    if (!changes.m_ok) {
        co_return false;
    }
    std::vector<std::string> changed;
    for (store_item& item : changes.m_items) {
        const auto found = m_items.find(item.m_key);
        if (found != m_items.end() && found->second.m_revision >= item.m_revision) {
            continue;
        }
        changed.push_back(item.m_key);
        if (item.m_removed) {
            m_items.erase(item.m_key);
        }
        else {
            const std::string key = item.m_key;
            m_items[key] = std::move(item);
        }
    }
    m_as_of = std::max(m_as_of, changes.m_as_of);
    notify(changed);
    co_return true;
}

} // namespace guavabay
