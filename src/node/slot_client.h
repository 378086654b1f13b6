#pragma once

#include "node/node_state.h"

namespace guavabay {

/// Takes a wish for a slot: checks access once more and asks the owner of the service.
void on_slot_wanted(node_state& node, const slot_wanted& wanted, time_point now, wall_time wall,
                    node_output& out);

/// Takes a slot back from the request path and tells the owner.
void on_slot_finished(node_state& node, const slot_finished& finished, time_point now,
                      wall_time wall, node_output& out);

/// Hands a granted slot to the request path, or returns it when nobody wants it any more.
void on_slot_grant(node_state& node, const host_id& from, const slot_grant_message& grant,
                   node_output& out);

/// Passes a refusal on to the request path.
void on_slot_refusal(node_state& node, const slot_refusal_message& refusal, node_output& out);

/// Notes that the owner has queued an ask, so that it is repeated less often.
void on_slot_queued(node_state& node, const host_id& from, const slot_queued_message& queued,
                    time_point now);

/// Sends an ask again soon, because the receiver was not the owner.
void on_slot_not_owner(node_state& node, const slot_not_owner_message& refusal, time_point now);

/// Lists every slot of a service that this process holds.
holdings_message list_holdings(const node_state& node, const holdings_ask_message& ask);

/// Repeats asks, probes silent owners and refuses what has waited too long.
void on_slot_client_tick(node_state& node, time_point now, node_output& out);

/// Refuses every waiting request of customers whose access has ended.
void deny_ended_customers(node_state& node, wall_time wall, node_output& out);

} // namespace guavabay
