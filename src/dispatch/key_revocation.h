#pragma once

#include <string>
#include <string_view>

#include "core/remembered_keys.h"
#include "dispatch/operator_config.h"
#include "dispatch/peer_table.h"

// What an entry host does with keys that may have been withdrawn without its knowledge, and what it
// logs about refused keys.
namespace guavabay {

/// How long a host goes by the keys that it knows.
struct revocation_rule {
    bool m_strict = false;         ///< Refuse requests with keys when cut off for too long.
    milliseconds m_max_time{5000}; ///< Longest time without the store and without any peer.
};

/// Returns when the store or any peer was last heard; zero if neither ever was.
time_point last_contact(time_point last_store_data_at, const peer_table& peers);

/// True if requests that need a key have to be refused, because their key may have been withdrawn
/// since the last contact.
bool refuses_keys(const revocation_rule& rule, time_point last_contact_at, time_point now);

/// Lines about refused keys that were logged. Callers that try many keys cause a bounded number.
struct refused_key_log {
    remembered_keys m_noted;
    time_point m_period_began{};
    std::uint32_t m_lines = 0; ///< In this period.
};

/// Log line about a request whose key was refused, with the beginning of the key's digest, never
/// the key; empty if the same was logged before or too many lines were logged in this second.
std::string describe_refused_key(const queue_route& route, std::string_view authorization,
                                 std::string_view reason, std::int64_t config_version,
                                 refused_key_log& log, time_point now);

} // namespace guavabay
