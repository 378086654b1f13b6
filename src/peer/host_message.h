#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "quota/quota_message.h"
#include "submission/submission.h"
#include "worker/worker.h"
#include "worker/worker_order.h"

namespace guavabay {

/// A submission for the owner of its queue's service.
struct submit_request {
    service_id m_service;
    queue_id m_queue;
    submission_id m_id;
    std::string m_submission;       ///< As encode_submission writes it.
    organisation_id m_organisation; ///< Of the caller's key; empty on a public route.
};

/// How an owner answered a call of a caller.
enum class owner_answer : std::uint8_t {
    done,
    refused,    ///< Not accepted; a later attempt may be.
    none,       ///< There is no such submission.
    not_owner,  ///< This host does not own the service, or cannot prove it.
    store_away, ///< Nothing can be made durable at the moment; not accepted.
    unknown,    ///< It may have been accepted.
    forbidden,  ///< The submission belongs to another organisation.
};

/// Answer of an owner.
struct owner_reply {
    owner_answer m_answer = owner_answer::unknown;
    std::uint32_t m_retry_after_s = 0;
    /// Of a submission that was found. To an inquiry about an acceptance also canceled with the
    /// answer none, if the id was cancelled before it arrived.
    submission_state m_state = submission_state::pending;
    std::uint64_t m_count = 0;
};

/// Cancels a submission.
struct cancel_request {
    service_id m_service;
    queue_id m_queue;
    submission_id m_id;
    organisation_id m_organisation; ///< Of the caller's key; empty on a public route.
};

/// Asks for a submission's state.
struct state_request {
    service_id m_service;
    queue_id m_queue;
    submission_id m_id;
    organisation_id m_organisation; ///< Of the caller's key; empty on a public route.
};

/// Asks how many submissions of a queue wait.
struct count_request {
    service_id m_service;
    queue_id m_queue;
};

/// What an owner asks the owner of another shard that may hold ids of the same queue.
enum class inquiry_subject : std::uint8_t {
    /// Whether it has a submission. One that answers that it has not must not accept it afterwards
    /// without asking the asker first.
    acceptance,
    state,        ///< The state of a submission.
    cancellation, ///< To cancel a submission, also one that arrives later.
    count,        ///< How many submissions of the queue wait.
};

/// A question of an owner to the owner of another shard that may hold ids of the same queue.
struct holder_inquiry {
    service_id m_service; ///< Of the shard that is asked.
    service_id m_asker;   ///< Of the shard that asks.
    queue_id m_queue;
    submission_id m_id; ///< Empty for a count.
    organisation_id m_organisation;
    inquiry_subject m_subject = inquiry_subject::acceptance;
};

/// Keeps machines of a service free of work, and no others.
struct cordon_request {
    service_id m_service;
    std::vector<std::string> m_machines;
    bool m_urgent = false;                 ///< Work that does not end soon is stopped.
    std::vector<std::string> m_upkeep_due; ///< Machines that are to be kept free later.
    std::uint32_t m_coming = 0;            ///< Machines on their way to the service's pool.
};

/// A machine of a pool and what runs on it.
struct machine_report {
    std::string m_machine;
    std::uint32_t m_runs = 0;
    bool m_lasting = false;
    std::uint32_t m_busy_ms =
        0; ///< Expected time until its runs, but for lasting ones, have ended.
};

/// Machines of a cordon on which nothing runs any more, and what the pool needs.
struct cordon_reply {
    bool m_owner = false;
    std::vector<std::string> m_clear;
    double m_needed = 0; ///< Machines.
    std::vector<machine_report> m_machines;
};

/// A call to the platform's store that the receiver makes for the sender.
struct relay_request {
    std::string m_method;
    std::string m_target;
    std::string m_body;
    std::uint32_t m_timeout_ms = 0;
};

/// What the store answered to a relayed call.
struct relay_reply {
    std::uint8_t m_progress = 0;
    std::uint32_t m_status = 0;
    std::string m_body;
};

/// What a host believes, sent to its peers at intervals. As a call it asks the receiver for its own
/// greeting, with the configuration if that is newer than the sender's.
struct greeting {
    std::string m_host;
    std::string m_address;
    std::int64_t m_config_revision = 0;
    bool m_store_answers = false;
    std::string m_config;             ///< In full, only in the reply to a call.
    std::vector<std::string> m_peers; ///< Addresses of some other hosts.
};

/// An order to a worker that the receiver passes on for the owner of the worker's shard.
struct worker_order_request {
    worker_order m_order;
    fencing_token m_token; ///< Of the owner.
};

/// The worker's answer to a relayed order.
struct worker_order_reply {
    order_outcome m_outcome = order_outcome::unknown;
};

/// A hold of a worker that the receiver passes on for the owner of the worker's shard.
struct worker_hold_request {
    hold_request m_hold;
    fencing_token m_token;       ///< Of the owner.
    std::uint32_t m_wait_ms = 0; ///< How long the worker may delay its answer until a run ends.
};

/// The worker's answer to a relayed hold.
struct worker_hold_reply {
    order_outcome m_outcome = order_outcome::unknown;
    worker_report m_report; ///< Empty unless the hold was accepted.
};

/// Asks whether the store answers the receiver.
struct store_status_request {};

/// Whether the store answered the sender's last call.
struct store_status_reply {
    bool m_store_answers = false;
};

/// One message between two hosts; a reply carries the number of its request.
using host_message =
    std::variant<submit_request, cancel_request, state_request, count_request, cordon_request,
                 relay_request, greeting, owner_reply, cordon_reply, relay_reply,
                 worker_order_request, worker_order_reply, worker_hold_request, worker_hold_reply,
                 store_status_request, store_status_reply, quota_request, quota_reply,
                 holder_inquiry>;

/// Name of a message's kind, given as the index of the alternative, for metrics.
std::string_view message_name(std::size_t kind);

/// Encodes a message with its number as one frame, length included.
std::string encode_frame(std::uint64_t number, const host_message& message);

/// A decoded frame.
struct host_frame {
    std::uint64_t m_number = 0;
    host_message m_message;
    std::size_t m_bytes = 0;  ///< Size of the encoded frame without its length field.
    std::size_t m_memory = 0; ///< Bytes that the message takes, at most.
};

/// Decodes a frame without its length; empty with a reason when it is malformed.
std::optional<host_frame> decode_frame(std::string_view bytes);

/// Largest frame that is accepted, in bytes.
inline constexpr std::uint32_t max_frame_bytes = 8U << 20U;

} // namespace guavabay
