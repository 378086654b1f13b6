#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "broker/endpoint_table.h"
#include "broker/fair_queue.h"
#include "peer/message.h"

namespace guavabay {

/// What one customer uses of a service, over all entry hosts.
struct customer_account {
    double m_tokens = 0; ///< Requests that may start under the rate limit.
    time_point m_refilled_at{};
    std::uint32_t m_running = 0;
};

/// A slot that the owner has granted.
struct granted_slot {
    held_slot m_slot;
    host_id m_holder;
    time_point m_granted_at{};
    time_point m_free_at = time_point::max(); ///< When a slot that may still be busy is reused.
};

/// The single queue of one service, kept by the process that owns it.
struct slot_broker {
    service_id m_service;
    endpoint_table m_endpoints;
    fair_queue m_queue;
    std::unordered_map<request_id, granted_slot> m_granted;
    std::map<customer_id, customer_account> m_accounts;
    std::set<host_id> m_unreported; ///< Hosts whose holdings a new owner still waits for.
    time_point m_settled_by{};      ///< When a new owner stops waiting for them.
    time_point m_last_holdings_ask{};
    double m_mean_run_us = 0; ///< Moving average; zero until the first answer.
};

/// Messages that a broker wants sent, each to one entry host.
struct broker_output {
    std::vector<std::pair<host_id, peer_message>> m_sends;
};

/// Finds the contract of a customer in force at the owner; null when there is none.
using contract_lookup = std::function<const contract*(const customer_id&)>;

/// Starts the ownership of a service: until the given hosts have listed the slots that they
/// hold, or a short time has passed, nothing is granted.
void begin_ownership(slot_broker& broker, const std::vector<host_id>& others, time_point now,
                     broker_output& out);

/// Takes an ask: queues it, repeats an earlier grant, or refuses it.
void on_slot_ask(slot_broker& broker, const host_id& from, const slot_ask_message& ask,
                 const contract_lookup& contracts, time_point now, broker_output& out);

/// Takes a slot back, or an ask that is no longer wanted.
void on_slot_release(slot_broker& broker, const slot_release_message& release,
                     const contract_lookup& contracts, time_point now, broker_output& out);

/// Compares what a host says it holds with what was granted to it.
void on_holdings(slot_broker& broker, const host_id& from, const holdings_message& holdings,
                 const contract_lookup& contracts, time_point now, broker_output& out);

/// Frees what a host held that is known to be gone.
void on_entry_host_lost(slot_broker& broker, const host_id& holder, time_point now);

/// The entry hosts that hold a slot or wait for one.
std::set<host_id> find_entry_hosts(const slot_broker& broker);

/// The waiting requests, each with the entry host that asked for it.
std::vector<std::pair<request_id, host_id>> list_waiting_requests(const slot_broker& broker);

/// Refuses everything that waits for a customer whose access has ended.
void on_customer_ended(slot_broker& broker, const customer_id& customer, broker_output& out);

/// Expires what has waited too long, repeats questions and grants free slots.
void on_broker_tick(slot_broker& broker, const contract_lookup& contracts, time_point now,
                    broker_output& out);

} // namespace guavabay
