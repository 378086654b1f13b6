#pragma once

#include "core/ids.h"

namespace guavabay {

/// One entry host of an epoch.
struct epoch_member {
    host_id m_host;
    zone_id m_zone;
    incarnation m_incarnation;

    auto operator<=>(const epoch_member&) const = default;

    /// Lets the codec read and write the member.
    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_host, m_zone, m_incarnation);
    }
};

} // namespace guavabay
