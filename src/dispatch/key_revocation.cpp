#include "dispatch/key_revocation.h"

#include <algorithm>

#include "contract/digest.h"

namespace guavabay {

namespace {

/// Hexadecimal digits of a digest that tell the keys of one configuration apart.
constexpr std::size_t logged_digest_length = 12;

/// Most lines about refused keys in one period.
constexpr std::uint32_t max_lines = 8;
constexpr milliseconds line_period{1000};

} // namespace

time_point last_contact(time_point last_store_data_at, const peer_table& peers)
{
    time_point latest = last_store_data_at;
    for (const auto& [address, peer] : peers.m_peers) {
        latest = std::max(latest, peer.m_last_heard_at.value_or(time_point{}));
    }
    return latest;
}

bool refuses_keys(const revocation_rule& rule, time_point last_contact_at, time_point now)
{
    return rule.m_strict && now - last_contact_at >= rule.m_max_time;
}

std::string describe_refused_key(const queue_route& route, std::string_view authorization,
                                 std::string_view reason, std::int64_t config_version,
                                 refused_key_log& log, time_point now)
{
    if (now - log.m_period_began >= line_period) {
        log.m_period_began = now;
        log.m_lines = 0;
    }
    if (log.m_lines >= max_lines) {
        return {};
    }
    const std::string_view key = bearer_key(authorization);
    const std::string digest =
        key.empty() ? "none" : format_digest(digest_of(key)).substr(0, logged_digest_length);
    std::string line = "dispatch: key refused queue=" + route.m_contract.m_queue.str() +
                       " key_digest=" + digest + " config=" + std::to_string(config_version) +
                       " reason=" + std::string(reason);
    if (!remember(log.m_noted, line, now)) {
        return {};
    }
    ++log.m_lines;
    return line;
}

} // namespace guavabay
