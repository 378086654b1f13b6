#pragma once

#include <optional>
#include <vector>

#include "app/setting.h"
#include "edge/edge_types.h"
#include "net/address.h"
#include "node/node_state.h"
#include "peer/codec.h"
#include "store/etcd_store.h"

namespace guavabay {

/// Everything that the serve command is told.
struct serve_settings {
    node_settings m_node;
    ip_address m_caller_address;
    ip_address m_operator_address;
    ip_address m_peer_address;
    std::string m_operator_key; ///< Empty when the operator address is open to anybody.
    peer_keys m_peer_keys;
    store_settings m_store;
    edge_limits m_limits;
};

/// The settings of the serve command, in the order of the documentation.
std::vector<setting> declare_serve_settings();

/// Builds the settings from checked values; empty with a reason when they contradict each other.
std::optional<serve_settings> make_serve_settings(const setting_values& values);

} // namespace guavabay
