#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/time.h"

namespace guavabay {

/// State that another host reported in its last message.
struct peer_state {
    std::optional<time_point> m_last_heard_at; ///< Empty before its first message.
    bool m_store_answers = false;              ///< The store answers that host.
    std::int64_t m_config_revision = 0;        ///< Newest configuration known to that host.
    time_point m_known_since{};                ///< When its address was learned.
};

/// The other hosts by address, collected from the settings, the store and messages of peers.
struct peer_table {
    std::string m_own_address;
    std::vector<std::string> m_seeds; ///< Addresses from the settings; never removed.
    std::map<std::string, peer_state> m_peers;
};

/// Adds the address of a possible peer, unless it is empty, too long to be one, already known or
/// the host's own, or the table is full. It counts as not heard from.
void add_peer(peer_table& table, const std::string& address, time_point now);

/// Adds the address of a host that is in the settings or registered in the store, also to a full
/// table.
void add_member(peer_table& table, const std::string& address, time_point now);

/// Records what a peer reported about the store.
void record_store_report(peer_table& table, const std::string& address, bool store_answers,
                         time_point now);

/// Returns the peers to ask whether the store answers them: those whose last report is no longer
/// fresh. Messages that rotate through all peers reach a host of a large fleet too rarely to tell
/// whether a majority is without the store.
std::vector<std::string> select_peers_to_ask(const peer_table& table, time_point now);

/// Removes peers that were not heard from for 20 s and are neither seeds nor in the list of
/// members.
void remove_stale_peers(peer_table& table, const std::vector<std::string>& members, time_point now);

/// Returns at most max_count peers to send a message to. Successive turns rotate through all peers.
std::vector<std::string> select_peers(const peer_table& table, std::size_t max_count,
                                      std::uint64_t turn);

/// Returns at most max_count peers to tell others about: those heard from in the last 10 s.
/// Successive turns rotate through all of them.
std::vector<std::string> select_peers_to_announce(const peer_table& table, std::size_t max_count,
                                                  std::uint64_t turn, time_point now);

/// True if the peer's last message is recent enough to rely on what it reported.
bool is_recent(const peer_state& peer, time_point now);

/// Returns the addresses of peers that recently reported that the store answers them.
std::vector<std::string> peers_with_store(const peer_table& table, time_point now);

/// True if at least one peer was heard from recently, these peers and this host are a majority of
/// the members, and the store answers none of the peers. The caller checks that the store does not
/// answer this host either.
bool is_store_unreachable_for_majority(const peer_table& table, std::size_t members,
                                       time_point now);

} // namespace guavabay
