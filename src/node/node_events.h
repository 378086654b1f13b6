#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "config/config_view.h"
#include "peer/message.h"
#include "store/store.h"

namespace guavabay {

/// The request path asks for a slot.
struct slot_wanted {
    request_id m_request;
    customer_id m_customer;
    service_id m_service;
    duration m_allowed{}; ///< Time until the request may no longer start.
    std::vector<endpoint_id> m_excluded;
};

/// The request path gives a slot back, or no longer wants one.
struct slot_finished {
    request_id m_request;
    slot_outcome m_outcome = slot_outcome::unused;
    duration m_run{};
};

/// The request path asks whether a request may run under an idempotency key.
struct key_wanted {
    key_record m_record;
    duration m_allowed{};
};

/// The request path says how the request under an idempotency key ended.
struct key_finished {
    key_record m_record;
};

/// Everything that the request path tells the control thread.
using edge_event = std::variant<slot_wanted, slot_finished, key_wanted, key_finished>;

/// A slot that the request path may use.
struct slot_given {
    request_id m_request;
    endpoint_id m_endpoint;
    std::string m_address;
};

/// A request that must not run.
struct slot_denied {
    request_id m_request;
    error_kind m_kind = error_kind::no_endpoint;
};

/// The decision on an idempotency key; a kind means that the request must not run.
struct key_decided {
    request_id m_request;
    std::optional<error_kind> m_kind;
    std::uint32_t m_http_status = 0;
    time_point m_valid_until{}; ///< The request may be written to an endpoint until then.
    epoch m_epoch;
};

/// Everything that the control thread tells the request path.
using edge_answer = std::variant<slot_given, slot_denied, key_decided>;

/// What an operator wants.
enum class operator_verb : std::uint8_t {
    apply,
    end,
    get,
    list,
    status,
    proof,
    members,
    fleet_status,
    host_move,
    wave_start,
    wave_pause,
    wave_resume,
    wave_status,
    task_submit,
    task_cancel,
    task_list,
    task_explain,
};

/// A call of an operator.
struct operator_request {
    std::uint64_t m_number = 0;
    operator_verb m_verb = operator_verb::list;
    customer_id m_customer;
    std::string m_body;
    operation_id m_operation;
    std::string m_operator;
    std::optional<revision> m_expected; ///< The version that the operator read before.
    std::string m_host;                 ///< Host of the fleet that a move is about.
    pool_id m_pool;                     ///< Pool of the task that a call is about.
    task_id m_task;
    bool m_dry_run = false;
    std::vector<host_id> m_assumed_gone; ///< Hosts that the operator knows to be gone.
};

/// The answer to an operator: JSON, and a kind when the call failed.
struct operator_answer {
    std::uint64_t m_number = 0;
    std::optional<error_kind> m_kind;
    std::string m_body;
};

/// One packet from a peer.
struct packet_received {
    peer_packet m_packet;
};

/// The process was asked to stop.
struct stop_wanted {};

/// The request path has nothing left to finish.
struct edge_idle {};

/// Everything that can happen to a node.
using node_event = std::variant<packet_received, edge_event, store_event, operator_request,
                                stop_wanted, edge_idle>;

/// Severity of a log line.
enum class log_level : std::uint8_t { info, warning, error };

/// A line for the log.
struct log_line {
    log_level m_level = log_level::info;
    std::string m_text;
};

/// Everything that a step decides. Reused from step to step.
struct node_output {
    std::vector<std::pair<host_id, peer_message>> m_sends;
    std::vector<std::pair<std::string, peer_message>> m_address_sends;
    std::vector<edge_answer> m_edge;
    std::vector<store_call> m_store;
    std::vector<operator_answer> m_operators;
    std::vector<log_line> m_log;
    bool m_view_changed = false;

    /// Empties all lists and keeps their memory.
    void clear();
};

} // namespace guavabay
