#pragma once

#include <functional>
#include <map>
#include <vector>

#include "dispatch/prefix_watch.h"
#include "worker/worker.h"

namespace guavabay {

/// Changes of the worker list since the previous ones.
struct worker_list_changes {
    std::vector<worker_listing> m_updated; ///< New and changed entries.
    std::vector<worker_id> m_removed;      ///< Workers without a usable entry.
};

/// Follows the list of registered workers in the store while this host needs it. Only changes are
/// transferred once the list was read, so that the cost follows the changes and not the size of the
/// fleet. Must be used on the thread that runs its io_context.
class worker_directory {
public:
    using change_handler = std::function<void(const worker_list_changes&)>;

    /// Creates a directory that sends nothing until it is needed. The store client must outlive it.
    worker_directory(asio::io_context& context, store_client& store, change_handler handler);

    /// Starts the directory; the list is not read before set_needed(true).
    void start();

    /// Starts or stops following the list.
    void set_needed(bool needed);

    /// True if the whole list is known and followed.
    [[nodiscard]] bool is_loaded() const { return m_records.is_loaded(); }

    /// Returns all usable entries.
    [[nodiscard]] std::vector<worker_listing> listings() const;

private:
    void apply_changes(const std::vector<std::string>& keys);

    change_handler m_handler;
    prefix_watch m_records;
    std::map<worker_id, worker_listing> m_listings;
    bool m_needed = false;
};

} // namespace guavabay
