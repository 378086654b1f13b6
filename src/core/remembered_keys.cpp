#include "core/remembered_keys.h"

namespace guavabay {

bool remember(remembered_keys& keys, const std::string& key, time_point now)
{
    if (!keys.m_at.emplace(key, now).second) {
        return false;
    }
    keys.m_order.push_back(key);
    if (keys.m_order.size() > keys.m_limit) {
        keys.m_at.erase(keys.m_order.front());
        keys.m_order.pop_front();
    }
    return true;
}

std::optional<time_point> find_remembered(const remembered_keys& keys, const std::string& key)
{
    const auto found = keys.m_at.find(key);
    return found == keys.m_at.end() ? std::nullopt : std::optional(found->second);
}

} // namespace guavabay
