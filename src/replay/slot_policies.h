#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "broker/endpoint_table.h"
#include "contract/contract.h"
#include "replay/trace.h"

namespace guavabay {

/// One request of a trace.
struct replay_request {
    time_point m_at{};
    customer_id m_customer;
    duration m_run{};
    std::size_t m_entry = 0;
    time_point m_done{};
    std::size_t m_endpoint = 0;
};

/// What a slot trace describes.
struct slot_scene {
    std::vector<endpoint_listing> m_endpoints;
    std::map<customer_id, contract> m_contracts;
    std::vector<replay_request> m_requests;
    std::vector<std::string> m_policies;
    std::size_t m_entries = 9;
    duration m_network{};
    std::uint64_t m_seed = 1;
};

/// Plays a scene under one way of sharing slots and adds what was measured under its name; false
/// with a reason when the way is not known.
bool play_policy(const std::string& policy, const slot_scene& scene, measures& measured);

} // namespace guavabay
