#pragma once

#include <cstdint>
#include <string>

#include "core/remembered_keys.h"
#include "core/time.h"
#include "submission/submission.h"
#include "worker/worker.h"
#include "worker/worker_order.h"

// What the scheduler tells operators about cancellations and about runs that should have ended. The
// functions write log lines and count; they decide nothing.
namespace guavabay {

struct shard;
struct worker_record;
struct run_slot;

/// Cancellations by what became of them, and stop orders by their answer, since the takeover.
struct cancellation_counts {
    std::uint64_t m_received = 0;       ///< First requests to cancel an open submission.
    std::uint64_t m_repeated = 0;       ///< Further ones before the first was stored.
    std::uint64_t m_ended = 0;          ///< The final state was decided before.
    std::uint64_t m_unknown = 0;        ///< There was no such submission.
    std::uint64_t m_stored = 0;         ///< Durable.
    std::uint64_t m_timed_out = 0;      ///< Not durable when the caller's time was over.
    std::uint64_t m_accepted_later = 0; ///< Submissions accepted after an unknown cancellation.
    std::uint64_t m_stops_sent = 0;
    std::uint64_t m_stops_unanswered = 0; ///< No connection or no answer.
    std::uint64_t m_stops_refused = 0;    ///< Answered, but not carried out.
    remembered_keys m_unknown_ids;        ///< Ids of the newest unknown cancellations.
};

/// Notes a request to cancel a submission, before it is applied.
void note_cancellation(shard& state, const submission_id& id, time_point now);

/// Notes that a cancellation is durable and its stops are decided.
void note_cancellation_stored(shard& state, const submission_id& id, time_point now);

/// Notes that a cancellation was not durable when its caller's time was over.
void note_cancellation_open(shard& state, const submission_id& id, time_point now);

/// Notes the acceptance of a new submission; logged if its cancellation came before it.
void note_acceptance(shard& state, const submission_id& id, time_point now);

/// Notes that a worker reports a run whose task is not to run, because the submission is decided or
/// unknown. Each run is logged once, except a known one of a submission that ended by itself: its
/// worker may list it until its end is reported. `known` tells whether the owner knew the run.
void note_stray_run(shard& state, const worker_record& worker, run_slot& slot, bool known,
                    time_point now);

/// Notes that a stop order for a run was queued.
void note_stop_sent(shard& state, run_slot& slot);

/// Notes the result of an order; those of other kinds than stop are ignored.
void note_order_answer(shard& state, const worker_order& order, order_outcome outcome);

/// Notes that a run is being stopped; logged once when it is still there long after the stop was
/// decided.
void note_stopping_run(shard& state, const worker_record& worker, run_slot& slot, time_point now);

/// Notes a report; logged once in each period in which the worker is not listed but has runs.
void note_report(shard& state, worker_record& worker, const worker_report& report, time_point now);

/// Notes that another incarnation answers at a worker's address, before its runs are forgotten.
void note_other_incarnation(shard& state, worker_record& worker, time_point now);

/// Formats the counts and the present state of runs and workers in the Prometheus text format.
std::string format_cancellation_metrics(const shard& state, time_point now);

} // namespace guavabay
