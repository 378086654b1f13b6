#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <unordered_set>

#include "core/time.h"
#include "submission/submission_log.h"

// Accepted submissions of a shard's log for which the host has no memory yet. The owner knows their
// ids and answers for them. It loads them from the log when there is room; until then none of their
// tasks starts, and the ends of runs that workers report are appended to the log.
namespace guavabay {

struct shard;

/// A submission that waits for memory.
struct deferred_submission {
    queue_id m_queue;
    organisation_id m_organisation; ///< Empty for one of a public route.
    std::uint64_t m_log_number = 0; ///< Of the record that holds its definition.
    bool m_started = false;         ///< A run of one of its tasks has ended.
    bool m_cancel_requested = false;
};

using deferred_submissions = std::unordered_map<submission_id, deferred_submission>;

/// Keeps an accepted submission that is replayed only by its id if there is no room for it. Returns
/// whether it did.
bool defer_if_full(shard& state, const log_accepted& entry, std::uint64_t log_number);

/// Closes a deferred submission: it is known by its final state from then on. Returns false if
/// there is none with this id.
bool close_deferred(shard& state, const submission_id& id, submission_state final_state,
                    std::int64_t closed_ms);

/// Notes the end of a run of a deferred submission in the log. Returns false if the run belongs to
/// no such submission.
bool note_deferred_end(shard& state, const task_name& task, bool is_done, run_number run);

/// Number of the record with which a reading of the log for deferred submissions begins; empty if
/// none of them may be loaded now, because there is no room or runs of former owners may go on.
std::optional<std::uint64_t> find_deferred_record(const shard& state);

/// Applies an entry of the log to the deferred submissions: loads those for which there is room,
/// and replays their later entries. `loaded` holds the ids of the present reading, and is empty
/// when it begins.
void replay_deferred(shard& state, const log_entry& entry,
                     std::unordered_set<submission_id>& loaded, time_point now, wall_time wall);

/// Records the memory in use at the end of a reading of the log: without more room than then,
/// another one would find the same.
void note_log_reading(shard& state);

/// Completes the submissions of a reading that came to the end of the log.
void finish_deferred(shard& state, const std::unordered_set<submission_id>& loaded, wall_time wall);

} // namespace guavabay
