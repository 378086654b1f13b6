#include "contract/contract.h"

namespace guavabay {

const service_grant* find_service(const contract& terms, const service_id& service)
{
    for (const service_grant& grant : terms.m_services) {
        if (grant.m_name == service) {
            return &grant;
        }
    }
    return nullptr;
}

std::optional<error_kind> access_refusal(const contract& terms, wall_time now)
{
    if (now < terms.m_begins) {
        return error_kind::access_not_begun;
    }
    if (terms.m_ends && now >= *terms.m_ends) {
        return error_kind::access_ended;
    }
    return std::nullopt;
}

} // namespace guavabay
