#pragma once

#include <optional>
#include <string>

#include "dispatch/peer_table.h"

namespace guavabay {

/// State of fetching the configuration from peers. The store is the usual source; a peer is asked
/// only if the store does not deliver a revision that peers already have. Peers never send the
/// configuration unasked, so that hosts that lag behind do not add load to their links.
struct config_fetch {
    std::int64_t m_known_revision = 0; ///< Newest revision that this host had at the last check.
    std::optional<time_point> m_behind_since; ///< Since when that revision is not the newest one.
    bool m_in_progress = false;               ///< A peer was asked and has not answered yet.
    std::uint64_t m_next_source = 0;          ///< Round-robin position among possible sources.
};

/// Returns the peer to fetch the configuration from, or nothing if no fetch is due. It is due if a
/// peer has a newer revision and for a while this host has received neither one nor any part of an
/// answer of the store. At most one fetch is in progress; the caller resets m_in_progress when it
/// ends.
std::optional<std::string> select_config_source(config_fetch& fetch, const peer_table& table,
                                                std::int64_t known_revision,
                                                time_point last_store_data_at, time_point now);

} // namespace guavabay
