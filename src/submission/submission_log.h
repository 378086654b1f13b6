#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "submission/queue_contract.h"
#include "submission/submission.h"

namespace guavabay {

/// Log entry: a submission was accepted.
struct log_accepted {
    submission_id m_id;
    queue_id m_queue;
    std::int64_t m_accepted_ms = 0; ///< Unix time, in milliseconds.
    submission m_submission;
};

/// Log entry: a submission was cancelled by its caller.
struct log_cancelled {
    submission_id m_id;
};

/// Log entry: a run ended with an outcome that counts for its task. It was done, or it failed
/// through its own or the worker's fault.
struct log_task_ended {
    task_name m_task;
    bool m_done = false;
    run_number m_run; ///< Run that ended. A worker reports a failure to later owners too until it
                      ///< is acknowledged.
};

/// Log entry: a submission reached its final state.
struct log_closed {
    submission_id m_id;
    submission_state m_state = submission_state::succeeded;
    std::int64_t m_closed_ms = 0; ///< Unix time, in milliseconds.
};

/// Log entry: a submission whose final state is no longer needed was removed from memory.
struct log_purged {
    submission_id m_id;
};

/// Log entry: the owner uses a worker. The owner's successor has to reach this worker or wait until
/// the worker's lease has ended.
struct log_worker_used {
    worker_id m_worker;
    std::string m_address;
};

/// Log entry: the incarnation of a worker process or its lease has ended.
struct log_worker_gone {
    worker_id m_worker;
};

/// Log entry: a new owner has taken over the shard and begins to start tasks, on any worker in use.
struct log_ownership_taken {
    std::int64_t m_token = 0; ///< Fencing token of the new owner.
};

/// Log entry: the owner has given up the shard and the log is complete. No start order of that
/// owner is outstanding on workers that are not listed.
struct log_ownership_released {
    std::vector<worker_id> m_busy_workers;
};

/// Log entry: the contract of a queue that has submissions. It applies to them also when the
/// configuration no longer has the queue.
struct log_queue_contract {
    queue_contract m_contract;
};

/// Log entry: a worker runs an incarnation. It is settled once calls for former incarnations can no
/// longer have lengthened its lease; see schedule/incarnation_guard.h.
struct log_worker_incarnation {
    worker_id m_worker;
    std::int64_t m_start_ms = 0; ///< Start of the incarnation; Unix time.
    bool m_settled = false;
};

/// Log entry: the organisation that a submission belongs to. Follows the entry of its acceptance in
/// the same record; submissions of public routes have none.
struct log_submission_organisation {
    submission_id m_id;
    organisation_id m_organisation;
};

/// One entry of a shard's log. The encoding stores the index of the alternative: append new ones.
using log_entry =
    std::variant<log_accepted, log_cancelled, log_task_ended, log_closed, log_purged,
                 log_worker_used, log_worker_gone, log_ownership_released, log_ownership_taken,
                 log_queue_contract, log_worker_incarnation, log_submission_organisation>;

/// Upper bound of the encoded size of an entry, in bytes.
std::size_t encoded_bytes(const log_entry& entry);

/// Encodes the entries that are written to the store in one record.
std::string encode_log(const std::vector<log_entry>& entries);

/// Decodes the output of encode_log(). Returns an empty value, with the cause in last_reason(), if
/// it is malformed.
std::optional<std::vector<log_entry>> decode_log(std::string_view bytes);

/// Encodes a submission for transfer to another process.
std::string encode_submission(const submission& request);

/// Decodes the output of encode_submission(). Returns an empty value, with the cause in
/// last_reason(), if it is malformed.
std::optional<submission> decode_submission_bytes(std::string_view bytes);

} // namespace guavabay
