#include "dispatch/prefix_watch.h"

#include "core/result.h"
#include "dispatch/retry_pause.h"
#include "log/log.h"
#include "platform/store_calls.h"

namespace guavabay {

namespace {

/// A waiting call is answered by the store after this time at the latest; a connection that has
/// gone silent is found after it and the margin.
constexpr milliseconds watch_wait{1500};
constexpr milliseconds watch_margin{600};
constexpr milliseconds read_time{1500};

} // namespace

prefix_watch::prefix_watch(asio::io_context& context, store_client& store, std::string prefix,
                           change_handler handler)
    : m_context(context), m_store(store), m_prefix(std::move(prefix)),
      m_handler(std::move(handler)), m_pause(context)
{
}

void prefix_watch::start()
{
    asio::co_spawn(m_context, follow(), asio::detached);
}

void prefix_watch::refresh()
{
    m_refresh = true;
    m_pause.cancel();
}

void prefix_watch::apply_if_newer(store_item item)
{
    const auto found = m_items.find(item.m_key);
    if (found != m_items.end() && found->second.m_revision >= item.m_revision) {
        return;
    }
    const std::string key = item.m_key;
    m_items[key] = std::move(item);
    report({key});
}

void prefix_watch::report(const std::vector<std::string>& keys)
{
    if (!keys.empty()) {
        m_handler(keys);
    }
}

asio::awaitable<void> prefix_watch::follow()
{
    retry_pause pause;
    bool read = false;
    while (true) {
        m_refresh = false;
        bool ok = false;
        if (!read) {
            ok = co_await read_all();
            read = ok;
        }
        else {
            ok = co_await wait_for_changes();
            read = ok && !m_refresh;
        }
        if (ok) {
            pause.reset();
            continue;
        }
        log_info("store: following " + m_prefix + " failed: " + last_reason());
        m_pause.expires_after(pause.next());
        error_code ignored;
        co_await m_pause.async_wait(to_coroutine(ignored));
    }
}

asio::awaitable<bool> prefix_watch::read_all()
{
    std::map<std::string, store_item> shown;
    revision as_of;
    std::string after;
    bool more = true;
    while (more) {
        const http_answer answer =
            co_await m_store.call(platform::encode_range(m_prefix, after, false), read_time);
        range_result page = platform::decode_range(answer);
        if (!page.m_ok) {
            co_return false;
        }
        if (as_of == revision{}) {
            as_of = page.m_as_of;
        }
        more = page.m_more && !page.m_items.empty();
        for (store_item& item : page.m_items) {
            after = item.m_key;
            shown[item.m_key] = std::move(item);
        }
    }
    if (as_of < m_as_of) {
        fail("an older reading");
        co_return false;
    }
    std::vector<std::string> changed;
    for (auto it = m_items.begin(); it != m_items.end();) {
        // A record that is newer than the reading was told by a peer.
        if (!shown.contains(it->first) && it->second.m_revision <= as_of) {
            changed.push_back(it->first);
            it = m_items.erase(it);
        }
        else {
            ++it;
        }
    }
    for (auto& [key, item] : shown) {
        store_item& known = m_items[key];
        if (known.m_revision < item.m_revision) {
            known = std::move(item);
            changed.push_back(key);
        }
    }
    m_as_of = as_of;
    m_has_read = true;
    report(changed);
    co_return true;
}

asio::awaitable<bool> prefix_watch::wait_for_changes()
{
    const http_answer answer = co_await m_store.call(
        platform::encode_watch(m_prefix, m_as_of, watch_wait), watch_wait + watch_margin);
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
    report(changed);
    co_return true;
}

} // namespace guavabay
