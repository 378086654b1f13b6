#include "dispatch/operator_config.h"

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

} // namespace guavabay
