#pragma once

#include <functional>
#include <map>
#include <string>

#include "dispatch/store_client.h"
#include "store/store_item.h"

namespace guavabay {

/// Follows the records under a prefix of the store. It never goes back to an older reading.
class prefix_watch {
public:
    /// Called after records changed, with their keys.
    using change_handler = std::function<void(const std::vector<std::string>&)>;

    /// Makes a watch; nothing is sent before start.
    prefix_watch(asio::io_context& context, store_client& store, std::string prefix,
                 change_handler handler);

    /// Begins to read and to follow.
    void start();

    /// Reads everything anew soon, because someone knows something newer.
    void refresh();

    /// All records, by key.
    [[nodiscard]] const std::map<std::string, store_item>& items() const { return m_items; }

    /// True after the first full reading.
    [[nodiscard]] bool is_loaded() const { return m_has_read; }

    /// Takes a record that a peer has read; an older one is ignored.
    void apply_if_newer(store_item item);

private:
    asio::awaitable<void> follow();
    asio::awaitable<bool> read_all();
    asio::awaitable<bool> wait_for_changes();
    void report(const std::vector<std::string>& keys);

    asio::io_context& m_context;
    store_client& m_store;
    std::string m_prefix;
    change_handler m_handler;
    std::map<std::string, store_item> m_items;
    revision m_as_of;
    bool m_has_read = false;
    asio::steady_timer m_pause;
    bool m_refresh = false;
};

} // namespace guavabay
