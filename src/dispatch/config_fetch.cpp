#include "dispatch/config_fetch.h"

#include <algorithm>
#include <vector>

namespace guavabay {

namespace {

/// How long the store may take to deliver a revision that a peer already has.
constexpr milliseconds store_delivery_time{700};

} // namespace

std::optional<std::string> select_config_source(config_fetch& fetch, const peer_table& table,
                                                std::int64_t known_revision,
                                                time_point last_store_data_at, time_point now)
{
    std::int64_t newest = known_revision;
    for (const auto& [address, peer] : table.m_peers) {
        if (is_recent(peer, now)) {
            newest = std::max(newest, peer.m_config_revision);
        }
    }
    if (newest == known_revision) {
        fetch.m_behind_since.reset();
    }
    else if (!fetch.m_behind_since || fetch.m_known_revision != known_revision) {
        fetch.m_behind_since = now;
    }
    fetch.m_known_revision = known_revision;
    if (fetch.m_in_progress || !fetch.m_behind_since ||
        now - std::max(*fetch.m_behind_since, last_store_data_at) < store_delivery_time) {
        return std::nullopt;
    }
    std::vector<std::string> sources;
    for (const auto& [address, peer] : table.m_peers) {
        if (is_recent(peer, now) && peer.m_config_revision == newest) {
            sources.push_back(address);
        }
    }
    fetch.m_in_progress = true;
    return sources[fetch.m_next_source++ % sources.size()];
}

} // namespace guavabay
