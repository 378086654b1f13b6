#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "broker/slot_broker.h"
#include "config/config_table.h"
#include "config/config_view.h"
#include "fleet/pool_plan.h"
#include "fleet/wave_plan.h"
#include "ledger/key_ledger.h"
#include "membership/member_table.h"
#include "node/node_events.h"
#include "node/task_duty.h"

namespace guavabay {

/// What a node is told at its start.
struct node_settings {
    member m_self;
    std::vector<std::string> m_seed_addresses; ///< Peers to greet first.
    policy_weights m_weights;                  ///< What idle hosts and moves cost.
    pool_id m_spare_pool; ///< Pool that lends hosts to others; empty when pools keep their size.
    seconds m_lease_time{10};
    duration m_accept_patience = seconds(10); ///< Longest time until an operator gets an answer.
};

/// An ask of this process that has no slot yet.
struct pending_ask {
    slot_wanted m_wanted;
    host_id m_owner; ///< Whom it was last sent to.
    time_point m_arrived{};
    time_point m_deadline{};
    time_point m_next_send{};
    time_point m_unanswered_since{}; ///< First send that had no reply; the epoch when replied.
    std::uint64_t m_silent_owner = 0;
};

/// A slot that this process holds.
struct active_slot {
    slot_wanted m_wanted;
    endpoint_id m_endpoint;
    host_id m_owner;
};

/// A change of a contract or a wave on its way from an operator into force.
struct pending_change {
    enum class stage : std::uint8_t { writing, settling, spreading };

    operator_request m_request;
    std::string m_summary;  ///< What the operator is told of a wave's change; empty for a contract.
    config_record m_record; ///< The value to write; its revision is set once it is accepted.
    revision m_base;
    stage m_stage = stage::writing;
    std::uint64_t m_call = 0; ///< Number of the store call under way; zero when none is.
    time_point m_deadline{};
    time_point m_next_try{};
};

/// A question to all members about one customer.
struct pending_status {
    operator_request m_request;
    std::map<host_id, status_tell_message> m_answers;
    time_point m_deadline{};
    time_point m_next_ask{};
    std::uint64_t m_proof_call = 0; ///< Store call that keeps the proof; zero before it.
    std::string m_proof;
};

/// How far a process is with learning the newest configuration before it serves.
struct sync_state {
    bool m_needed = true;
    bool m_store_read = false;  ///< The store showed everything since the need arose.
    bool m_peer_agreed = false; ///< A serving peer has the same records.
    time_point m_since{};
    time_point m_next_ask{};
};

/// This process's lease in the store.
struct store_lease {
    lease_id m_lease;
    time_point m_valid_until{};
    time_point m_next_try{};
    std::uint64_t m_call = 0;
    time_point m_call_sent{};
    bool m_registered = false;
};

/// A change of the fleet that this process writes while it holds the duty.
struct fleet_write {
    config_record m_record; ///< The revision is the one that the record must still have.
    std::string m_reason;
    std::uint64_t m_operator_call = 0; ///< Operator who waits for it; zero for none.
};

/// The duty of moving and maintaining hosts, which one process has at a time.
struct fleet_duty {
    enum class stage : std::uint8_t { idle, taking, refreshing, ready };

    stage m_stage = stage::idle;
    revision m_fence;         ///< Revision of the duty's record while this process holds it.
    std::uint64_t m_call = 0; ///< Number of the store call under way; zero when none is.
    std::optional<fleet_write> m_write; ///< Stays until its outcome is known.
    time_point m_next_try{};
    bool m_changed = true; ///< The fleet changed since the last plan.
};

/// An operator's call about a task that waits for the store.
struct task_call {
    operator_request m_request;
    task m_wanted;            ///< The task as it is to be written.
    std::uint64_t m_call = 0; ///< Store call under way; zero when none is.
    bool m_reading = false;   ///< The store call under way reads the record.
    time_point m_next_try{};
    time_point m_deadline{};
};

/// Requests and ends of a customer at this process, for the proof of departure.
struct customer_trace {
    std::uint32_t m_waiting = 0;
    std::uint32_t m_running = 0;
    std::map<endpoint_id, std::int64_t> m_last_end_ms;
};

/// The whole state of a node's decisions.
struct node_state {
    /// Makes the state of a process that has just started.
    node_state(node_settings settings, time_point now);

    node_settings m_settings;
    member_table m_members;
    config_table m_config;
    config_view_ptr m_view;
    std::map<service_id, std::vector<endpoint_listing>> m_listings;
    std::map<service_id, slot_broker> m_brokers;
    std::unordered_map<request_id, pending_ask> m_pending;
    std::unordered_map<request_id, active_slot> m_active;
    std::map<customer_id, customer_trace> m_traces;
    std::vector<pending_change> m_changes;
    std::vector<pending_status> m_statuses;
    key_ledger m_ledger;
    fleet_view m_fleet;
    std::optional<wave_record> m_wave;
    std::uint64_t m_fleet_version = 1; ///< Counts changes of hosts and reports.
    std::set<pool_id> m_pools;         ///< Pools that have hosts.
    std::uint64_t m_pools_version = 0; ///< Version of the fleet that the pools were read from.
    fleet_duty m_fleet_duty;
    demand_forecasts m_forecasts; ///< Known only to the holder of the fleet's duty.
    time_point m_next_rebalance{};
    std::map<pool_id, task_duty> m_task_duties;
    std::vector<task_call> m_task_calls;
    revision m_full_reading; ///< Position of the history that the last full reading showed.
    sync_state m_sync;
    store_lease m_lease;
    time_point m_epoch_changed_since{}; ///< Since when another epoch is wanted.
    time_point m_stop_since{};
    revision m_epoch_revision; ///< Revision of the epoch record that was followed last.
    bool m_store_reachable = false;
    time_point m_last_tick{};
    time_point m_next_heartbeat{};
    time_point m_last_outside_contact{}; ///< When the store or a peer was last heard.
    std::map<host_id, time_point> m_last_digest_sent;
    std::map<host_id, time_point> m_probes; ///< Probes without an answer, by when they were sent.
    std::size_t m_heartbeat_turn = 0; ///< Differs from host to host, so that not all greet one.
    std::uint64_t m_next_number = 1;
    bool m_stopping = false;
    bool m_edge_idle = false;
};

/// A number that no earlier call or question of this process carries.
std::uint64_t take_number(node_state& node);

/// The hash that the ids of a process's requests start with.
std::uint64_t process_origin(const host_id& host, incarnation run);

/// Starts a call to the store and gives its number.
template <typename Operation>
std::uint64_t call_store(node_state& node, Operation operation, node_output& out)
{
    const std::uint64_t number = take_number(node);
    out.m_store.push_back({number, std::move(operation)});
    return number;
}

} // namespace guavabay
