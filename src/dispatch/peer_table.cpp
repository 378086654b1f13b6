#include "dispatch/peer_table.h"

#include <algorithm>

namespace guavabay {

namespace {

/// A peer's report counts for this long after it was received.
constexpr milliseconds peer_state_validity{1600};

/// A peer whose last report is younger is not asked for another one.
constexpr milliseconds fresh_report_age{300};

/// A peer that is not heard from for this long is removed.
constexpr seconds peer_expiry{20};

/// A peer that was heard from within this time is announced to others. It is shorter than the time
/// to removal, so that hosts do not remind each other of one that has left.
constexpr seconds announce_age{10};

/// Limits of the addresses that are known, and of the length of one.
constexpr std::size_t max_peers = 4096;
constexpr std::size_t max_address_length = 64;

/// Reduces a list to at most max_count entries. Successive turns rotate through all of them.
std::vector<std::string> take_turn(std::vector<std::string> all, std::size_t max_count,
                                   std::uint64_t turn)
{
    if (all.size() > max_count) {
        std::rotate(all.begin(),
                    all.begin() + static_cast<std::ptrdiff_t>((turn * max_count) % all.size()),
                    all.end());
        all.resize(max_count);
    }
    return all;
}

} // namespace

void add_member(peer_table& table, const std::string& address, time_point now)
{
    if (address != table.m_own_address && !address.empty()) {
        table.m_peers.try_emplace(address, peer_state{std::nullopt, false, 0, now});
    }
}

void add_peer(peer_table& table, const std::string& address, time_point now)
{
    if (address.size() <= max_address_length && table.m_peers.size() < max_peers) {
        add_member(table, address, now);
    }
}

void record_store_report(peer_table& table, const std::string& address, bool store_answers,
                         time_point now)
{
    const auto found = table.m_peers.find(address);
    if (found != table.m_peers.end()) {
        found->second.m_last_heard_at = now;
        found->second.m_store_answers = store_answers;
    }
}

std::vector<std::string> select_peers_to_ask(const peer_table& table, time_point now)
{
    std::vector<std::string> peers;
    for (const auto& [address, peer] : table.m_peers) {
        if (!peer.m_last_heard_at || now - *peer.m_last_heard_at >= fresh_report_age) {
            peers.push_back(address);
        }
    }
    return peers;
}

void remove_stale_peers(peer_table& table, const std::vector<std::string>& members, time_point now)
{
    std::erase_if(table.m_peers, [&](const auto& entry) {
        const auto listed = [&](const std::vector<std::string>& list) {
            return std::find(list.begin(), list.end(), entry.first) != list.end();
        };
        const peer_state& peer = entry.second;
        return now - peer.m_last_heard_at.value_or(peer.m_known_since) > peer_expiry &&
               !listed(members) && !listed(table.m_seeds);
    });
}

std::vector<std::string> select_peers(const peer_table& table, std::size_t max_count,
                                      std::uint64_t turn)
{
    std::vector<std::string> all;
    all.reserve(table.m_peers.size());
    for (const auto& [address, view] : table.m_peers) {
        all.push_back(address);
    }
    return take_turn(std::move(all), max_count, turn);
}

std::vector<std::string> select_peers_to_announce(const peer_table& table, std::size_t max_count,
                                                  std::uint64_t turn, time_point now)
{
    std::vector<std::string> heard;
    for (const auto& [address, peer] : table.m_peers) {
        if (peer.m_last_heard_at && now - *peer.m_last_heard_at < announce_age) {
            heard.push_back(address);
        }
    }
    return take_turn(std::move(heard), max_count, turn);
}

bool is_recent(const peer_state& peer, time_point now)
{
    return peer.m_last_heard_at && now - *peer.m_last_heard_at < peer_state_validity;
}

std::vector<std::string> peers_with_store(const peer_table& table, time_point now)
{
    std::vector<std::string> peers;
    for (const auto& [address, view] : table.m_peers) {
        if (view.m_store_answers && is_recent(view, now)) {
            peers.push_back(address);
        }
    }
    return peers;
}

bool is_store_unreachable_for_majority(const peer_table& table, std::size_t members, time_point now)
{
    std::size_t peers_without_store = 0;
    for (const auto& [address, view] : table.m_peers) {
        if (!is_recent(view, now)) {
            continue;
        }
        if (view.m_store_answers) {
            return false;
        }
        ++peers_without_store;
    }
    // This host itself counts as one that the store does not answer.
    return (peers_without_store + 1) * 2 > members && peers_without_store > 0;
}

} // namespace guavabay
