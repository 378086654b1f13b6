#pragma once

#include <functional>
#include <map>
#include <string>

#include "dispatch/store_client.h"
#include "store/store_item.h"

namespace guavabay {

/// Keeps a local copy of all store records under a key prefix and follows changes by long polling.
/// While changes come faster than they can be received, the current records are read instead, which
/// leaves out superseded versions. The copy never goes back to an older revision, even if a store
/// replica returns stale data. Must be used on the thread that runs its io_context.
class prefix_watch {
public:
    /// Called after records were added, changed or removed, with their keys.
    using change_handler = std::function<void(const std::vector<std::string>&)>;

    /// Creates a watch on a prefix; sends nothing before start. The store client must outlive it.
    /// Changes that come within min_interval of each other are received together.
    prefix_watch(asio::io_context& context, store_client& store, std::string prefix,
                 change_handler handler, milliseconds min_interval = milliseconds(0));

    /// Starts to load the records and to follow changes; failed calls are retried without limit.
    void start();

    /// Makes no further calls until resume(). The records count as not loaded meanwhile.
    void pause();

    /// Loads the records again and follows changes; does nothing unless paused.
    void resume();

    /// Requests a full reload, because newer data is known to exist. It follows the long poll that
    /// is under way; a pause between retries ends at once. Has no effect during a full load.
    void refresh();

    /// All known records, by key.
    [[nodiscard]] const std::map<std::string, store_item>& items() const { return m_items; }

    /// True once all records were loaded for the first time, or for the first time since a pause.
    [[nodiscard]] bool is_loaded() const { return m_is_loaded; }

    /// Boot-clock time at which the store last sent a part of a successful answer directly to this
    /// host.
    [[nodiscard]] time_point last_received_at() const { return m_last_received_at; }

    /// Stores a record obtained by other means, such as from a peer, and calls the handler; does
    /// nothing if the known record is as new.
    void apply_if_newer(store_item item);

private:
    asio::awaitable<void> run();
    /// Outcome of one attempt to load the records or to receive changes.
    enum class read_outcome : std::uint8_t {
        failed,
        current, ///< The copy holds all changes up to the answer.
        behind,  ///< As current, but changes come faster than they can be received one by one.
    };

    /// Reads all records. A host that was behind stays so if they have changed much since.
    asio::awaitable<read_outcome> load_all(bool was_behind);
    asio::awaitable<read_outcome> wait_for_changes();
    void notify(const std::vector<std::string>& keys);

    asio::io_context& m_context;
    store_client& m_store;
    std::string m_prefix;
    change_handler m_handler;
    milliseconds m_min_interval;
    std::map<std::string, store_item> m_items;
    revision m_as_of; ///< Store revision up to which changes are included.
    bool m_is_loaded = false;
    asio::steady_timer m_retry_timer;
    bool m_refresh_requested = false;
    bool m_paused = false;
    time_point m_last_received_at{};
    std::size_t m_received_bytes = 0; ///< By the calls of the current attempt, for the log.
};

} // namespace guavabay
