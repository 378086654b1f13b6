#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "core/time.h"

namespace guavabay {

/// Keys with the moments at which they were remembered, in bounded memory.
struct remembered_keys {
    std::size_t m_limit = 1024;
    std::map<std::string, time_point, std::less<>> m_at;
    std::deque<std::string> m_order; ///< Oldest first.
};

/// Remembers a key, and forgets the oldest one beyond the limit. Returns false and changes nothing
/// if the key is remembered already.
bool remember(remembered_keys& keys, const std::string& key, time_point now);

/// When a key was remembered; empty if it is not.
std::optional<time_point> find_remembered(const remembered_keys& keys, const std::string& key);

} // namespace guavabay
