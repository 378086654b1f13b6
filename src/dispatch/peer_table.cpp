#include "dispatch/peer_table.h"

#include <algorithm>

namespace guavabay {

namespace {

/// A peer's word on the store counts for this long.
constexpr milliseconds word_time{1600};

/// A peer that is not heard for this long is forgotten.
constexpr seconds forget_time{20};

} // namespace

void learn_peer(peer_table& table, const std::string& address, time_point now)
{
    if (address != table.m_own_address && !address.empty()) {
        table.m_peers.try_emplace(address, peer_view{now, false, 0});
    }
}

void forget_peers(peer_table& table, const std::vector<std::string>& members, time_point now)
{
    std::erase_if(table.m_peers, [&](const auto& entry) {
        const auto listed = [&](const std::vector<std::string>& list) {
            return std::find(list.begin(), list.end(), entry.first) != list.end();
        };
        return now - entry.second.m_heard_at > forget_time && !listed(members) &&
               !listed(table.m_seeds);
    });
}

std::vector<std::string> peers_to_greet(const peer_table& table, std::size_t most,
                                        std::uint64_t turn)
{
    std::vector<std::string> all;
    all.reserve(table.m_peers.size());
    for (const auto& [address, view] : table.m_peers) {
        all.push_back(address);
    }
    if (all.size() > most) {
        std::rotate(all.begin(),
                    all.begin() + static_cast<std::ptrdiff_t>((turn * most) % all.size()),
                    all.end());
        all.resize(most);
    }
    return all;
}

std::vector<std::string> peers_with_store(const peer_table& table, time_point now)
{
    std::vector<std::string> peers;
    for (const auto& [address, view] : table.m_peers) {
        if (view.m_store_answers && now - view.m_heard_at < word_time) {
            peers.push_back(address);
        }
    }
    return peers;
}

bool store_away_for_peers(const peer_table& table, std::size_t members, time_point now)
{
    std::size_t without = 0;
    for (const auto& [address, view] : table.m_peers) {
        if (now - view.m_heard_at >= word_time) {
            continue;
        }
        if (view.m_store_answers) {
            return false;
        }
        ++without;
    }
    // This host itself counts as one without.
    return (without + 1) * 2 > members && without > 0;
}

} // namespace guavabay
