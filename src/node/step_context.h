#pragma once

#include "node/node_state.h"

namespace guavabay {

/// The moment and the place of output that every handler of one step shares.
struct step_context {
    node_state& m_node;
    time_point m_now;
    wall_time m_wall;
    node_output& m_out;
};

} // namespace guavabay
