#include "schedule/stray_runs.h"

#include <algorithm>

#include "schedule/shard.h"

namespace guavabay {

namespace {

/// Time after the longest duration of a stop after which a run that is still there is logged.
constexpr milliseconds overdue_margin{1000};

/// A worker that has not been listed for less than this is not logged for its runs: its owner may
/// just not have read the list yet.
constexpr milliseconds unlisted_margin{1000};

std::string yes_or_no(bool value)
{
    return value ? "yes" : "no";
}

/// Whole milliseconds since a moment, for output.
std::string ms_since(time_point since, time_point now)
{
    if (since == time_point{}) {
        return "unknown";
    }
    return std::to_string(std::chrono::duration_cast<milliseconds>(now - since).count());
}

const submission_record* find_submission(const shard& state, const submission_id& id)
{
    const auto found = state.m_submissions.find(id);
    return found == state.m_submissions.end() ? nullptr : found->second.get();
}

/// A submission's state, for output.
std::string describe(const submission_record* record)
{
    if (record == nullptr) {
        return "unknown";
    }
    if (!record->m_final_decided) {
        return record->m_cancel_requested ? "cancel_requested" : "open";
    }
    switch (record->m_final) {
    case submission_state::succeeded:
        return "succeeded";
    case submission_state::failed:
        return "failed";
    default:
        return "canceled";
    }
}

/// Number of runs of a submission that the owner knows on all workers.
std::size_t count_runs(const shard& state, const submission_id& id)
{
    std::size_t runs = 0;
    const std::pair first(task_name{id, 0, 0, 0}, run_number(0));
    for (const auto& [name, worker] : state.m_workers) {
        for (auto it = worker->m_runs.lower_bound(first);
             it != worker->m_runs.end() && it->first.first.m_submission == id; ++it) {
            ++runs;
        }
    }
    return runs;
}

/// Runs that a worker may have although their submissions are decided or unknown.
struct stray_runs {
    std::size_t m_leased = 0;      ///< On workers whose leases last.
    std::size_t m_lease_ended = 0; ///< On the others, which may only begin a late start.
    duration m_oldest{0};          ///< Longest time since a stop was decided for a leased one.
};

stray_runs find_stray_runs(const shard& state, time_point now)
{
    stray_runs found;
    for (const auto& [name, worker] : state.m_workers) {
        for (const auto& [key, slot] : worker->m_runs) {
            const submission_record* record = find_submission(state, slot.m_task.m_submission);
            if (record != nullptr && !record->m_final_decided) {
                continue;
            }
            if (worker->m_lease_ended) {
                ++found.m_lease_ended;
                continue;
            }
            ++found.m_leased;
            if (slot.m_stopping_since != time_point{}) {
                found.m_oldest = std::max<duration>(found.m_oldest, now - slot.m_stopping_since);
            }
        }
    }
    return found;
}

} // namespace

void note_cancellation(shard& state, const submission_id& id, time_point now)
{
    cancellation_counts& counts = state.m_cancellations;
    const auto found = state.m_submissions.find(id);
    if (found == state.m_submissions.end()) {
        ++counts.m_unknown;
        if (remember(counts.m_unknown_ids, id.str(), now)) {
            state.m_log_lines.push_back(
                "cancellation of an unknown submission: id=" + id.str() +
                " submissions=" + std::to_string(state.m_submissions.size()) +
                " token=" + std::to_string(state.m_token.get()));
        }
        return;
    }
    submission_record& record = *found->second;
    if (record.m_final_decided) {
        ++counts.m_ended;
        return;
    }
    if (record.m_cancel_received_at != time_point{}) {
        ++counts.m_repeated;
        return;
    }
    ++counts.m_received;
    record.m_cancel_received_at = now;
    state.m_log_lines.push_back("cancellation received: id=" + id.str() +
                                " accept_stored=" + yes_or_no(record.m_accept_stored) +
                                " runs=" + std::to_string(count_runs(state, id)));
}

void note_cancellation_stored(shard& state, const submission_id& id, time_point now)
{
    const auto found = state.m_submissions.find(id);
    if (found == state.m_submissions.end() || found->second->m_cancel_received_at == time_point{}) {
        return;
    }
    submission_record& record = *found->second;
    ++state.m_cancellations.m_stored;
    state.m_log_lines.push_back("cancellation stored: id=" + id.str() +
                                " after_ms=" + ms_since(record.m_cancel_received_at, now) +
                                " state=" + describe(&record) +
                                " runs_to_stop=" + std::to_string(count_runs(state, id)));
    record.m_cancel_received_at = {};
}

void note_cancellation_open(shard& state, const submission_id& id, time_point now)
{
    ++state.m_cancellations.m_timed_out;
    const submission_record* record = find_submission(state, id);
    state.m_log_lines.push_back(
        "cancellation not stored in the caller's time: id=" + id.str() + " after_ms=" +
        ms_since(record == nullptr ? time_point{} : record->m_cancel_received_at, now));
}

void note_acceptance(shard& state, const submission_id& id, time_point now)
{
    const std::optional<time_point> cancelled =
        find_remembered(state.m_cancellations.m_unknown_ids, id.str());
    if (!cancelled) {
        return;
    }
    ++state.m_cancellations.m_accepted_later;
    state.m_log_lines.push_back("submission accepted after its cancellation was answered as that "
                                "of an unknown one: id=" +
                                id.str() + " cancelled_ms_ago=" + ms_since(*cancelled, now));
}

void note_stray_run(shard& state, const worker_record& worker, run_slot& slot, bool known,
                    time_point now)
{
    if (slot.m_stray_noted) {
        return;
    }
    slot.m_stray_noted = true;
    const submission_record* record = find_submission(state, slot.m_task.m_submission);
    const bool ended_by_itself = record != nullptr && record->m_final_decided &&
                                 record->m_final == submission_state::succeeded;
    if (known && ended_by_itself) {
        return;
    }
    state.m_log_lines.push_back(
        "run of a submission that is over or unknown reported: task=" + to_string(slot.m_task) +
        " run=" + std::to_string(slot.m_run.get()) + " worker=" + worker.m_info.m_id.str() +
        " submission=" + describe(record) + " age_ms=" +
        (known ? ms_since(slot.m_ordered_at, now) : "unknown") + " known=" + yes_or_no(known) +
        " stopping=" + yes_or_no(known && slot.m_phase == run_phase::stopping) + " stops_sent=" +
        std::to_string(slot.m_stops_sent) + " listed=" + yes_or_no(worker.m_listed));
}

void note_stop_sent(shard& state, run_slot& slot)
{
    ++state.m_cancellations.m_stops_sent;
    ++slot.m_stops_sent;
}

void note_order_answer(shard& state, const worker_order& order, order_outcome outcome)
{
    if (order.m_kind != worker_order::kind::stop) {
        return;
    }
    cancellation_counts& counts = state.m_cancellations;
    const bool carried_out =
        outcome == order_outcome::accepted || outcome == order_outcome::refused_stale_run;
    const bool answered = outcome != order_outcome::unknown && outcome != order_outcome::not_sent &&
                          outcome != order_outcome::withheld;
    counts.m_stops_unanswered += answered ? 0 : 1;
    counts.m_stops_refused += answered && !carried_out ? 1 : 0;
    const auto worker = state.m_workers.find(order.m_worker);
    if (worker == state.m_workers.end() || !carried_out) {
        return;
    }
    const auto slot = worker->second->m_runs.find({order.m_task, order.m_run});
    if (slot != worker->second->m_runs.end()) {
        ++slot->second.m_stops_answered;
    }
}

void note_stopping_run(shard& state, const worker_record& worker, run_slot& slot, time_point now)
{
    if (slot.m_stopping_since == time_point{}) {
        slot.m_stopping_since = now;
    }
    if (slot.m_overdue_noted ||
        now - slot.m_stopping_since <= state.m_bounds.m_stop_time + overdue_margin) {
        return;
    }
    slot.m_overdue_noted = true;
    state.m_log_lines.push_back(
        "run still there after its stop: task=" + to_string(slot.m_task) +
        " run=" + std::to_string(slot.m_run.get()) + " worker=" + worker.m_info.m_id.str() +
        " submission=" + describe(find_submission(state, slot.m_task.m_submission)) + " for_ms=" +
        ms_since(slot.m_stopping_since, now) + " stops_sent=" + std::to_string(slot.m_stops_sent) +
        " stops_answered=" + std::to_string(slot.m_stops_answered) + " order_pending=" +
        yes_or_no(slot.m_order_pending) + " reported=" + yes_or_no(slot.m_reported) +
        " worker_answered=" + yes_or_no(worker.m_answered) + " lease_ended=" +
        yes_or_no(worker.m_lease_ended) + " listed=" + yes_or_no(worker.m_listed) +
        " heard_ms_ago=" + ms_since(worker.m_last_heard_at, now));
}

void note_report(shard& state, worker_record& worker, const worker_report& report, time_point now)
{
    if (worker.m_listed || report.m_running.empty() ||
        worker.m_unlisted_noted == worker.m_unlisted_since) {
        return;
    }
    const bool replaced = worker.m_other_incarnation_at != time_point{} &&
                          worker.m_other_incarnation_at >= worker.m_unlisted_since;
    if (!replaced && now - worker.m_unlisted_since < unlisted_margin) {
        return;
    }
    worker.m_unlisted_noted = worker.m_unlisted_since;
    state.m_log_lines.push_back(
        "worker that is not listed reports runs: worker=" + worker.m_info.m_id.str() +
        " address=" + worker.m_info.m_address + " runs=" + std::to_string(report.m_running.size()) +
        " unlisted_ms=" + ms_since(worker.m_unlisted_since, now) +
        " after_other_incarnation=" + yes_or_no(replaced));
}

void note_other_incarnation(shard& state, worker_record& worker, time_point now)
{
    // Further answers of this kind change nothing until the worker itself answers again.
    if (worker.m_answered || !worker.m_runs.empty() ||
        worker.m_other_incarnation_at == time_point{}) {
        state.m_log_lines.push_back(
            "another incarnation answers in a worker's place: worker=" + worker.m_info.m_id.str() +
            " address=" + worker.m_info.m_address + " forgotten_runs=" +
            std::to_string(worker.m_runs.size()) + " listed=" + yes_or_no(worker.m_listed));
    }
    worker.m_other_incarnation_at = now;
}

std::string format_cancellation_metrics(const shard& state, time_point now)
{
    std::string text;
    const std::string service = "service=\"" + state.m_service.str() + "\"";
    const auto line = [&](const std::string& name, const std::string& labels, double value) {
        text += "guavabay_" + name + "{" + service + labels + "} " + std::to_string(value) + "\n";
    };
    const cancellation_counts& counts = state.m_cancellations;
    const auto cancellations = [&](const std::string& outcome, std::uint64_t count) {
        line("cancellations_total", ",outcome=\"" + outcome + "\"", static_cast<double>(count));
    };
    cancellations("received", counts.m_received);
    cancellations("repeated", counts.m_repeated);
    cancellations("ended", counts.m_ended);
    cancellations("unknown", counts.m_unknown);
    cancellations("stored", counts.m_stored);
    cancellations("timed_out", counts.m_timed_out);
    line("accepted_after_cancellation_total", "", static_cast<double>(counts.m_accepted_later));
    line("stops_sent_total", "", static_cast<double>(counts.m_stops_sent));
    line("stops_unanswered_total", "", static_cast<double>(counts.m_stops_unanswered));
    line("stops_refused_total", "", static_cast<double>(counts.m_stops_refused));
    const stray_runs strays = find_stray_runs(state, now);
    line("decided_runs", ",lease=\"lasts\"", static_cast<double>(strays.m_leased));
    line("decided_runs", ",lease=\"ended\"", static_cast<double>(strays.m_lease_ended));
    line("decided_run_oldest_seconds", "", to_milliseconds(strays.m_oldest) / 1000);
    duration longest_unheard{0};
    std::size_t never_heard = 0;
    for (const auto& [id, worker] : state.m_workers) {
        if (worker->m_last_heard_at == time_point{}) {
            ++never_heard;
            continue;
        }
        longest_unheard = std::max<duration>(longest_unheard, now - worker->m_last_heard_at);
    }
    line("worker_unheard_longest_seconds", "", to_milliseconds(longest_unheard) / 1000);
    line("workers_never_heard", "", static_cast<double>(never_heard));
    return text;
}

} // namespace guavabay
