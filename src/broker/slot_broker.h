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

/// One customer's use of a service over all entry hosts: a token bucket for its rate limit and the
/// slots it has in use.
struct customer_account {
    double m_tokens = 0;         ///< Requests that the rate limit admits now.
    time_point m_refilled_at{};  ///< The epoch before the first refill.
    std::uint32_t m_running = 0; ///< Slots granted and not yet released.
};

/// A slot that the owner has granted to a request.
struct granted_slot {
    held_slot m_slot;
    host_id m_entry_host;
    time_point m_granted_at{};
    /// When a slot whose request may still run is freed; max() while none is scheduled.
    time_point m_reclaim_at = time_point::max();
};

/// State of the slot allocation of one service. Exactly one process owns a service at a time; it
/// queues the requests of all entry hosts and grants them the endpoints' slots.
struct slot_broker {
    service_id m_service;
    endpoint_table m_endpoints;
    fair_queue m_queue;
    std::unordered_map<request_id, granted_slot> m_granted;
    std::map<customer_id, customer_account> m_accounts;
    /// Hosts that have not yet listed their slots to a new owner.
    std::set<host_id> m_awaited_hosts;
    time_point m_holdings_deadline{};        ///< When a new owner stops waiting for these hosts.
    time_point m_last_holdings_request_at{}; ///< When hosts were last asked for their slots.
    /// Moving average of the run time of answered requests; zero before the first.
    double m_mean_run_us = 0;
};

/// Messages to send, each with the entry host that receives it. The functions below append to it.
struct broker_output {
    std::vector<std::pair<host_id, peer_message>> m_sends;
};

/// Returns the contract of a customer in force at the owner, or null when there is none.
using contract_lookup = std::function<const contract*(const customer_id&)>;

/// Starts the ownership of a service by asking the given hosts which slots they hold. Until all
/// have answered or a short timeout has passed nothing is granted, since slots granted by the
/// previous owner may still be in use.
void begin_ownership(slot_broker& broker, const std::vector<host_id>& others, time_point now,
                     broker_output& out);

/// Handles a request for a slot: grants or queues it, repeats an earlier grant, or refuses it with
/// the reason. A repeated message does not take a second slot.
void on_slot_ask(slot_broker& broker, const host_id& from, const slot_ask_message& ask,
                 const contract_lookup& contracts, time_point now, broker_output& out);

/// Handles the release of a slot, or the withdrawal of a request that still waits. The outcome
/// updates the endpoint's health; a slot whose request may still run is freed only after a delay.
void on_slot_release(slot_broker& broker, const slot_release_message& release,
                     const contract_lookup& contracts, time_point now, broker_output& out);

/// Reconciles the slots that a host lists with those granted to it: adds slots that a previous
/// owner granted, and frees those that the host no longer holds because its release message was
/// lost.
void on_holdings(slot_broker& broker, const host_id& from, const holdings_message& holdings,
                 const contract_lookup& contracts, time_point now, broker_output& out);

/// Handles the loss of an entry host: drops its waiting requests at once and frees its slots after
/// a delay, since endpoints may still work on its requests.
void on_entry_host_lost(slot_broker& broker, const host_id& entry_host, time_point now);

/// Returns the entry hosts that hold a slot or wait for one.
std::set<host_id> find_entry_hosts(const slot_broker& broker);

/// Returns each waiting request with its entry host, ordered by request id.
std::vector<std::pair<request_id, host_id>> list_waiting_requests(const slot_broker& broker);

/// Refuses all waiting requests of a customer whose access has ended. Granted slots stay granted.
void on_customer_ended(slot_broker& broker, const customer_id& customer, broker_output& out);

/// Periodic work: refuses expired requests, frees slots whose delay has passed, asks hosts which
/// slots they hold, and grants free slots.
void on_broker_tick(slot_broker& broker, const contract_lookup& contracts, time_point now,
                    broker_output& out);

} // namespace guavabay
