#pragma once

#include <cstdint>

namespace guavabay {

/// How much a filling image disturbs a serving image on the same worker, as learned.
struct image_pair_model {
    double m_safe_cores = -1; ///< Largest load of the filling image under which targets held.
};

} // namespace guavabay
