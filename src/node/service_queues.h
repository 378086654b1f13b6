#pragma once

#include "node/step_context.h"

namespace guavabay {

/// Finds contracts whose access is open at the moment of a step.
contract_lookup make_lookup(const step_context& context);

/// True when this process owns the queue of a service by its own view.
bool owns(const node_state& node, const service_id& service, time_point now);

/// Finds this process's queue of a service, and takes the ownership up when it is new.
slot_broker& own_broker(const step_context& context, const service_id& service);

/// Appends what a queue wants sent.
void append(node_output& out, broker_output& sends);

/// Gives up every queue that another process owns now.
void drop_lost_ownerships(const step_context& context);

/// Lets time pass in every queue that this process owns.
void tick_brokers(const step_context& context);

} // namespace guavabay
