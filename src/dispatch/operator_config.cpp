#include "dispatch/operator_config.h"

#include <algorithm>
#include <cctype>

#include "core/result.h"

namespace guavabay {

const queue_route* find_route(const operator_config& config, std::string_view host,
                              std::string_view path)
{
    const std::size_t colon = host.find(':');
    if (colon != std::string_view::npos) {
        host = host.substr(0, colon);
    }
    const queue_route* best = nullptr;
    for (const queue_route& route : config.m_routes) {
        if (route.m_host == host && path.starts_with(route.m_path) &&
            (best == nullptr || route.m_path.size() > best->m_path.size())) {
            best = &route;
        }
    }
    return best;
}

std::string_view bearer_key(std::string_view authorization)
{
    constexpr std::string_view scheme = "bearer ";
    const bool is_bearer =
        authorization.size() > scheme.size() &&
        std::equal(scheme.begin(), scheme.end(), authorization.begin(), [](char left, char right) {
            return left == std::tolower(static_cast<unsigned char>(right));
        });
    if (!is_bearer) {
        return {};
    }
    authorization.remove_prefix(scheme.size());
    const std::size_t begin = authorization.find_first_not_of(' ');
    return begin == std::string_view::npos ? std::string_view() : authorization.substr(begin);
}

std::optional<organisation_id> authorize(const operator_config& config, const queue_route& route,
                                         std::string_view authorization)
{
    if (route.m_public || config.m_organisations.empty()) {
        return organisation_id();
    }
    const std::string_view key = bearer_key(authorization);
    if (key.empty()) {
        return fail("the request has no bearer key");
    }
    const organisation* found = config.m_organisations.find_by_key(key);
    if (found == nullptr) {
        return fail("the key belongs to no organisation");
    }
    return found->m_id;
}

} // namespace guavabay
