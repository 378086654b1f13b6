#include "dispatch/worker_directory.h"

#include <algorithm>
#include <iterator>

#include "core/result.h"
#include "log/log.h"
#include "platform/worker_calls.h"

namespace guavabay {

namespace {

/// Changes within this time of each other are received together, which bounds the calls to the
/// store while many workers come and go.
constexpr milliseconds change_interval{200};

} // namespace

worker_directory::worker_directory(asio::io_context& context, store_client& store,
                                   change_handler handler)
    : m_handler(std::move(handler)),
      m_records(
          context, store, std::string(platform::worker_prefix),
          [this](const std::vector<std::string>& keys) { apply_changes(keys); }, change_interval)
{
    m_records.pause();
}

void worker_directory::start()
{
    m_records.start();
}

void worker_directory::set_needed(bool needed)
{
    if (needed == m_needed) {
        return;
    }
    m_needed = needed;
    if (needed) {
        m_records.resume();
    }
    else {
        m_records.pause();
    }
}

std::vector<worker_listing> worker_directory::listings() const
{
    std::vector<worker_listing> all;
    all.reserve(m_listings.size());
    std::transform(m_listings.begin(), m_listings.end(), std::back_inserter(all),
                   [](const auto& entry) { return entry.second; });
    return all;
}

void worker_directory::apply_changes(const std::vector<std::string>& keys)
{
    worker_list_changes changes;
    for (const std::string& key : keys) {
        const worker_id id(key.substr(platform::worker_prefix.size()));
        const auto item = m_records.items().find(key);
        std::optional<worker_listing> listing;
        if (item != m_records.items().end()) {
            listing = platform::decode_listing(item->second);
            if (!listing) {
                log_warning("workers: " + last_reason());
            }
        }
        if (listing) {
            changes.m_updated.push_back(*listing);
            m_listings[id] = std::move(*listing);
        }
        else {
            m_listings.erase(id);
            changes.m_removed.push_back(id);
        }
    }
    m_handler(changes);
}

} // namespace guavabay
