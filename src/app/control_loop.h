#pragma once

#include <map>

#include "edge/edge_types.h"
#include "net/channel.h"
#include "node/node.h"
#include "peer/peer_link.h"

namespace guavabay {

/// Where the control thread sends what it decides.
struct control_outlets {
    channel<edge_input>* m_edge = nullptr;
    channel<store_call>* m_store = nullptr;
    channel<operator_answer>* m_operators = nullptr;
};

/// Runs a node's decisions on a thread: turns packets, ring values and the clock into events,
/// and decisions into packets and ring values.
class control_loop {
public:
    /// Makes a loop on the thread of the given context.
    control_loop(asio::io_context& context, node_settings settings, const ip_address& peer_address,
                 peer_keys keys, control_outlets outlets, shared_state& shared);

    /// Starts the clock.
    void start();

    /// Takes one event. What follows from it is collected until carry_out.
    void take(node_event&& event);

    /// Sends everything that the events taken so far have decided.
    void carry_out();

private:
    asio::awaitable<void> run_clock();
    void send_packets();
    void send_address_packets();
    void publish();

    asio::io_context& m_context;
    node_state m_node;
    peer_link m_link;
    control_outlets m_outlets;
    shared_state& m_shared;
    node_output m_out;
    std::map<host_id, peer_packet> m_packets;
    bool m_stop_sent = false;
    bool m_view_unsent = false; ///< The edge's ring was full when the view last changed.
};

} // namespace guavabay
