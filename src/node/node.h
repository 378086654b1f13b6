#pragma once

#include "node/node_events.h"
#include "node/node_state.h"

namespace guavabay {

/// How often a node's clock must tick.
inline constexpr milliseconds tick_interval{50};

/// A pause of a process longer than this makes it learn the configuration again.
inline constexpr milliseconds pause_limit{1000};

/// Takes one event and appends what follows from it.
void step(node_state& node, const node_event& event, time_point now, wall_time wall,
          node_output& out);

/// Takes note that time has passed and appends what follows from it.
void tick(node_state& node, time_point now, wall_time wall, node_output& out);

/// True when the process has the newest configuration that it can reach.
bool is_fresh(const node_state& node, time_point now);

/// Time since the process last heard the store or a peer; zero while it has no peers to hear.
duration isolated_for(const node_state& node, time_point now);

/// True when a stopping process has nothing left to do.
bool has_finished(const node_state& node);

} // namespace guavabay
