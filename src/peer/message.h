#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "config/config_table.h"
#include "config/epoch_member.h"
#include "contract/contract.h"
#include "core/error_kind.h"
#include "core/ids.h"
#include "membership/member_table.h"

namespace guavabay {

/// Says that a process is alive and how far its configuration is. Sent to a few peers at a time.
struct heartbeat_message {
    member m_self;
    std::vector<liveness> m_counts;
    std::uint64_t m_config_digest = 0;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_self, m_counts, m_config_digest);
    }
};

/// Asks for the description of members known here only by their process's tag.
struct member_ask_message {
    std::vector<std::uint32_t> m_processes;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_processes);
    }
};

/// Describes members.
struct member_tell_message {
    std::vector<member> m_members;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_members);
    }
};

/// Carries configuration records.
struct record_message {
    std::vector<config_record> m_records;
    bool m_acknowledge = false; ///< The sender wants to know that the records are in force.

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_records, m_acknowledge);
    }
};

/// Confirms that records, or newer ones under the same keys, are in force at the sender.
struct record_ack_message {
    std::vector<config_version> m_versions;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_versions);
    }
};

/// Carries the hash of each group of records, to find the groups that differ.
struct digest_message {
    config_digest m_digest{};

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_digest);
    }
};

/// Lists the versions in the groups that differ.
struct version_message {
    std::vector<config_version> m_versions;
    std::uint64_t m_total_digest = 0; ///< Hash over all records of the sender.

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_versions, m_total_digest);
    }
};

/// Asks for records by key.
struct record_ask_message {
    std::vector<std::string> m_keys;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_keys);
    }
};

/// Asks whether a process is alive.
struct probe_message {
    std::uint64_t m_nonce = 0;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_nonce);
    }
};

/// Answers a probe.
struct probe_ack_message {
    std::uint64_t m_nonce = 0;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_nonce);
    }
};

/// Asks the owner of a service for a slot at an endpoint. May be repeated.
struct slot_ask_message {
    request_id m_request;
    service_id m_service;
    customer_id m_customer;
    zone_id m_zone;
    std::int64_t m_waited_us = 0;    ///< Time since the caller's request was complete.
    std::int64_t m_remaining_us = 0; ///< Time until the request may no longer start.
    std::vector<endpoint_id> m_excluded;
    std::uint64_t m_silent_owner = 0; ///< Hash of an owner that did not answer; zero for none.

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_request, m_service, m_customer, m_zone, m_waited_us, m_remaining_us, m_excluded,
                m_silent_owner);
    }
};

/// Says that an ask waits in the owner's queue.
struct slot_queued_message {
    request_id m_request;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_request);
    }
};

/// Gives a slot at an endpoint to one request.
struct slot_grant_message {
    request_id m_request;
    service_id m_service;
    endpoint_id m_endpoint;
    std::string m_address; ///< IP number and port of the endpoint.

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_request, m_service, m_endpoint, m_address);
    }
};

/// Refuses a request; it has not run.
struct slot_refusal_message {
    request_id m_request;
    error_kind m_kind = error_kind::no_endpoint;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_request, m_kind);
    }
};

/// Tells an asking process that the receiver is not the owner of the service.
struct slot_not_owner_message {
    request_id m_request;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_request);
    }
};

/// How a request that held a slot ended.
enum class slot_outcome : std::uint8_t { answered, failed, unused, still_busy };

/// Gives a slot back, or withdraws an ask that still waits.
struct slot_release_message {
    request_id m_request;
    service_id m_service;
    endpoint_id m_endpoint;
    slot_outcome m_outcome = slot_outcome::unused;
    std::int64_t m_run_us = 0;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_request, m_service, m_endpoint, m_outcome, m_run_us);
    }
};

/// Asks a process which slots of a service it holds.
struct holdings_ask_message {
    service_id m_service;
    std::int64_t m_asked_at_us = 0; ///< The owner's clock, echoed in the answer.

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_service, m_asked_at_us);
    }
};

/// A slot that a process holds.
struct held_slot {
    request_id m_request;
    customer_id m_customer;
    endpoint_id m_endpoint;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_request, m_customer, m_endpoint);
    }
};

/// Lists every slot of a service that the sender holds.
struct holdings_message {
    service_id m_service;
    std::int64_t m_asked_at_us = 0;
    std::vector<held_slot> m_held;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_service, m_asked_at_us, m_held);
    }
};

/// Asks a process what it has in force for a customer and what it still runs.
struct status_ask_message {
    std::uint64_t m_ask = 0;
    customer_id m_customer;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_ask, m_customer);
    }
};

/// When the last request of a customer ended at an endpoint.
struct endpoint_trace {
    endpoint_id m_endpoint;
    std::int64_t m_last_end_ms = 0; ///< Calendar time, milliseconds since 1970.

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_endpoint, m_last_end_ms);
    }
};

/// Tasks of a customer in one pool that may still run or start.
struct pool_trace {
    pool_id m_pool;
    std::uint32_t m_open_tasks = 0;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_pool, m_open_tasks);
    }
};

/// What one process has in force for a customer and what it still runs.
struct status_tell_message {
    std::uint64_t m_ask = 0;
    revision m_in_force;
    bool m_access_open = false;
    std::uint32_t m_waiting = 0;
    std::uint32_t m_running = 0;
    std::int64_t m_confirmed_at_ms = 0; ///< Calendar time, milliseconds since 1970.
    std::vector<endpoint_trace> m_endpoints;
    std::vector<pool_trace> m_pools; ///< Pools whose tasks the sender places.

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_ask, m_in_force, m_access_open, m_waiting, m_running, m_confirmed_at_ms,
                m_endpoints, m_pools);
    }
};

/// What is known of the request that first used an idempotency key.
enum class key_state : std::uint8_t { claimed, running, done, not_run, unknown };

/// An idempotency key in use, as its owner and one other process keep it.
struct key_record {
    std::uint64_t m_key_hash = 0;    ///< Hash of customer, service and key.
    std::uint64_t m_fingerprint = 0; ///< Hash of method, target and body.
    request_id m_request;
    key_state m_state = key_state::claimed;
    std::uint32_t m_http_status = 0; ///< Status of the answer once it is done.

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_key_hash, m_fingerprint, m_request, m_state, m_http_status);
    }
};

/// Asks the owner of an idempotency key to let one request run under it.
struct key_claim_message {
    epoch m_epoch;
    key_record m_record;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_epoch, m_record);
    }
};

/// Asks a second process to keep a key before the request is let go.
struct key_copy_message {
    epoch m_epoch;
    key_record m_record;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_epoch, m_record);
    }
};

/// Says that the second process keeps the key, or already keeps another request under it.
struct key_copied_message {
    epoch m_epoch;
    key_record m_record;
    bool m_kept = false;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_epoch, m_record, m_kept);
    }
};

/// The owner's answer to a claim; a kind means that the request must not run.
struct key_verdict_message {
    request_id m_request;
    epoch m_epoch;
    std::optional<error_kind> m_kind;
    std::uint32_t m_http_status = 0;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_request, m_epoch, m_kind, m_http_status);
    }
};

/// Asks a process for the keys that it keeps and that belong to the sender in a new epoch.
struct key_transfer_ask_message {
    epoch m_epoch;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_epoch);
    }
};

/// Members of an earlier epoch that had not handed their keys over to the sender.
struct epoch_gap {
    epoch m_epoch;
    std::vector<epoch_member> m_members;
    std::vector<host_id> m_received; ///< Members that had.
    std::int64_t m_remaining_us = 0; ///< Time until the keys of that epoch are forgotten.

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_epoch, m_members, m_received, m_remaining_us);
    }
};

/// Hands keys over after the epoch changed. The sender no longer decides under older epochs.
struct key_transfer_message {
    epoch m_epoch;
    incarnation m_incarnation; ///< Tells a process from an earlier one of the same host.
    std::vector<key_record> m_records;
    bool m_last = false; ///< No more records follow.
    std::vector<epoch_gap> m_gaps;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_epoch, m_incarnation, m_records, m_last, m_gaps);
    }
};

/// Tells the holder of a pool's duty that the pool's records have changed.
struct task_hint_message {
    pool_id m_pool;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_pool);
    }
};

/// Tells the holder of the fleet's duty how much work a pool is asked for.
struct pool_demand_message {
    pool_id m_pool;
    std::uint64_t m_milli_hosts = 0; ///< Thousandths of what one of the pool's hosts offers.

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_pool, m_milli_hosts);
    }
};

/// Every message of the inner protocol.
using peer_message =
    std::variant<heartbeat_message, member_ask_message, member_tell_message, record_message,
                 record_ack_message, digest_message, version_message, record_ask_message,
                 probe_message, probe_ack_message, slot_ask_message, slot_queued_message,
                 slot_grant_message, slot_refusal_message, slot_not_owner_message,
                 slot_release_message, holdings_ask_message, holdings_message, status_ask_message,
                 status_tell_message, key_claim_message, key_copy_message, key_copied_message,
                 key_verdict_message, key_transfer_ask_message, key_transfer_message,
                 task_hint_message, pool_demand_message>;

/// The messages that one process sends to another in one datagram.
struct peer_packet {
    host_id m_sender;
    incarnation m_incarnation;
    std::vector<peer_message> m_messages;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_sender, m_incarnation, m_messages);
    }
};

} // namespace guavabay
