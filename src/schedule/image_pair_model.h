#pragma once

#include <cstdint>

namespace guavabay {

/// Learned interference of a filling image (one that uses idle cores) with a serving image.
struct image_pair_model {
    double m_safe_cores = -1; ///< Largest load of the filling image under which targets held.
};

} // namespace guavabay
