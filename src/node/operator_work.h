#pragma once

#include "node/node_state.h"

namespace guavabay {

/// Starts an operator's call.
void on_operator_request(node_state& node, const operator_request& request, time_point now,
                         wall_time wall, node_output& out);

/// Goes on with the change or proof that a store call belongs to; false when it belongs to none.
bool on_operator_store_result(node_state& node, const store_result& result, time_point now,
                              wall_time wall, node_output& out);

/// Answers a peer's question about a customer.
status_tell_message describe_customer(const node_state& node, const customer_id& customer,
                                      std::uint64_t ask, wall_time wall);

/// Takes a peer's answer about a customer.
void on_status_tell(node_state& node, const host_id& from, const status_tell_message& tell);

/// Repeats questions and store calls, and answers operators whose time is up.
void on_operator_tick(node_state& node, time_point now, wall_time wall, node_output& out);

} // namespace guavabay
