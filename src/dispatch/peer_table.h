#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/time.h"

namespace guavabay {

/// What another host said last.
struct peer_state {
    time_point m_last_heard_at{};
    bool m_store_answers = false;
    std::int64_t m_config_revision = 0;
};

/// Other hosts by address, from the settings, the store and what peers say.
struct peer_table {
    std::string m_own_address;
    std::vector<std::string> m_seeds;
    std::map<std::string, peer_state> m_peers;
};

/// Adds an address that may be a host's.
void add_peer(peer_table& table, const std::string& address, time_point now);

/// Forgets hosts that were not heard for long and are not in a list of members.
void remove_stale_peers(peer_table& table, const std::vector<std::string>& members, time_point now);

/// Some hosts to greet, at max_count the given number, other ones on each turn.
std::vector<std::string> select_peers(const peer_table& table, std::size_t max_count,
                                      std::uint64_t turn);

/// Hosts heard lately that say that the store answers them.
std::vector<std::string> peers_with_store(const peer_table& table, time_point now);

/// True when max_count hosts were heard lately and none of them is served by the store.
bool is_store_unreachable_for_majority(const peer_table& table, std::size_t members,
                                       time_point now);

} // namespace guavabay
