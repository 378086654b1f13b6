#include "schedule/place_waits.h"

#include <algorithm>
#include <cmath>

namespace guavabay {

namespace {

/// Prices of a decision when the whole pool is in use, in milliseconds of the task's own delay: of
/// a millisecond in which a core elsewhere is declined, and of one that a run takes longer.
constexpr double idle_price_of_full_pool = 0.3;
constexpr double work_price_of_full_pool = 1;

/// Power of the pool's share in use by which the price of longer runs grows.
constexpr double work_price_power = 4;

/// A task that has room elsewhere waits no longer than this once less than half of the pool has
/// been in use for as long. The platform counts work that stands still for three seconds as lost.
constexpr milliseconds max_wait_in_idle_pool{2000};

/// Bookings for the tasks of one step. More would only show that the place is full for long.
constexpr std::uint32_t max_bookings_per_step = 64;

/// Longest time for which a wait that is not decided anew is remembered, and the interval of
/// searches for such waits.
constexpr milliseconds wait_retention{1000};

/// Time between two decisions about a wait beyond which the task had no room elsewhere meanwhile.
constexpr milliseconds max_counted_gap{100};

/// Log lines about waits in one second.
constexpr std::uint32_t max_log_lines_per_second = 5;

/// Progress in percent from which on it alone tells when a run ends. Smaller progress counts in
/// proportion, since it is reported in whole percents.
constexpr double trusted_percent = 20;

/// Progress that was reported longer ago says nothing any more.
constexpr milliseconds max_progress_age{1500};

duration scale(duration length, double factor)
{
    return duration(static_cast<std::int64_t>(static_cast<double>(length.count()) * factor));
}

/// Expected time until a run ends; empty for a long-running one that is not being stopped.
std::optional<duration> expected_end(const shard& state, const run_slot& slot, time_point now)
{
    if (slot.m_phase == run_phase::stopping) {
        return state.m_bounds.m_stop_time;
    }
    if (slot.m_long_running) {
        return std::nullopt;
    }
    if (state.m_locality.m_known_remaining) {
        return state.m_locality.m_known_remaining(slot.m_task, now);
    }
    const duration elapsed = now - slot.m_ordered_at;
    const duration by_history =
        expected_remaining(state.m_locality.m_overruns, slot.m_estimate, elapsed);
    if (slot.m_percent <= 0 || now - slot.m_progress_at > max_progress_age) {
        return by_history;
    }
    if (slot.m_accepted_at == time_point{}) {
        // A former owner started it, so that only its progress is known.
        return scale(slot.m_estimate, (100.0 - slot.m_percent) / 100);
    }
    const double percent = slot.m_percent;
    const duration by_progress =
        scale(slot.m_progress_at - slot.m_ordered_at, 100 / percent) - elapsed;
    const double trust = std::min(1.0, percent / trusted_percent);
    return scale(std::max(by_progress, duration(0)), trust) + scale(by_history, 1 - trust);
}

worker_outlook make_outlook(const shard& state, const worker_record& worker, time_point now)
{
    worker_outlook outlook;
    outlook.m_free = worker.m_info.m_capacity - worker.m_reserved;
    for (const auto& [key, slot] : worker.m_runs) {
        if (const std::optional<duration> left = expected_end(state, slot, now)) {
            outlook.m_releases.push_back({*left, slot.m_reserved});
        }
    }
    std::sort(outlook.m_releases.begin(), outlook.m_releases.end(),
              [](const expected_release& left, const expected_release& right) {
                  return left.m_after < right.m_after;
              });
    return outlook;
}

/// The forecast of a rack, made on its first use in the pass. Workers on which something has
/// started since are looked at anew.
place_forecast& forecast_place(const shard& state, candidate_workers& candidates,
                               const std::string& rack, time_point now)
{
    const auto [found, is_new] = candidates.m_places.try_emplace(rack);
    place_forecast& forecast = found->second;
    if (is_new) {
        for (const auto& [id, worker] : state.m_workers) {
            const bool is_reserved =
                std::any_of(candidates.m_reserved.begin(), candidates.m_reserved.end(),
                            [&worker = worker](const reserved_worker& reserved) {
                                return reserved.m_candidate.m_worker == worker.get();
                            });
            // A worker that does not answer may be gone long before it counts as such.
            if (worker->m_info.m_rack.str() == rack && worker->m_unknown_demands == 0 &&
                !is_reserved && !worker->m_hold_failed && accepts_starts(*worker, now)) {
                forecast.m_workers.push_back(worker.get());
                forecast.m_outlook.m_workers.push_back(make_outlook(state, *worker, now));
                forecast.m_reserved.push_back(worker->m_reserved);
                forecast.m_bookings.emplace_back();
            }
        }
        return forecast;
    }
    for (std::size_t i = 0; i < forecast.m_workers.size(); ++i) {
        const worker_record& worker = *forecast.m_workers[i];
        if (worker.m_reserved == forecast.m_reserved[i]) {
            continue;
        }
        forecast.m_reserved[i] = worker.m_reserved;
        forecast.m_outlook.m_workers[i] = make_outlook(state, worker, now);
        for (const expected_booking& booking : forecast.m_bookings[i]) {
            book_on(forecast.m_outlook.m_workers[i], booking);
        }
    }
    return forecast;
}

/// Workers of a forecast that may not run the task.
std::vector<bool> find_excluded(const shard& state, const place_forecast& forecast,
                                const placement_request& request)
{
    task_name step = request.m_name;
    step.m_index = 0;
    const auto advice = state.m_advice.find(step);
    std::vector<bool> excluded;
    excluded.reserve(forecast.m_workers.size());
    for (const worker_record* worker : forecast.m_workers) {
        const bool is_denied = request.m_needs_ticket && advice != state.m_advice.end() &&
                               advice->second.m_denied.contains(worker->m_info.m_id);
        excluded.push_back(is_denied || !satisfies_constraints(*worker, request));
    }
    return excluded;
}

/// Share of the pool's cores that are in use, with the machines that are on their way.
double use_share(const shard& state, candidate_workers& candidates)
{
    if (!candidates.m_use_share) {
        double capacity = 0;
        double in_use = 0;
        double machines = 0;
        for (const auto& [id, worker] : state.m_workers) {
            if (worker->m_listed) {
                ++machines;
                capacity += static_cast<double>(worker->m_info.m_capacity.m_cpu_millis);
                in_use += static_cast<double>(worker->m_reserved.m_cpu_millis);
            }
        }
        capacity *= machines > 0 ? 1 + state.m_incoming_machines / machines : 1;
        candidates.m_use_share = capacity > 0 ? std::min(1.0, in_use / capacity) : 0;
    }
    return *candidates.m_use_share;
}

/// A place and the expected time until it has room.
struct expected_room {
    std::string m_rack;
    std::optional<duration> m_after;
    duration m_uncorrected{0}; ///< The time without the correction by past waits.
};

/// The place that is expected to have room first. Past waits at each place correct the forecast:
/// arrivals that rank higher, for example, make them longer.
expected_room find_first_room(shard& state, candidate_workers& candidates,
                              const placement_request& request, std::uint32_t count,
                              const std::vector<std::string>& racks, time_point now)
{
    expected_room best{racks.front(), std::nullopt, duration(0)};
    for (const std::string& rack : racks) {
        const place_forecast& forecast = forecast_place(state, candidates, rack, now);
        std::optional<duration> after = time_until_room(forecast.m_outlook, request.m_demand, count,
                                                        request.m_step->m_max_per_worker,
                                                        find_excluded(state, forecast, request));
        if (!after) {
            continue;
        }
        // Room that should be there already comes with one of the next reports.
        const duration uncorrected = std::max<duration>(*after, milliseconds(1));
        after = state.m_locality.m_known_remaining
                    ? uncorrected
                    : scale(uncorrected, state.m_locality.m_wait_histories[rack].m_ratio);
        if (!best.m_after || *after < *best.m_after) {
            best = {rack, after, uncorrected};
        }
    }
    return best;
}

/// Logs once that what this owner knows about waits begins with its ownership.
void activate(shard& state)
{
    if (state.m_locality.m_is_active) {
        return;
    }
    state.m_locality.m_is_active = true;
    state.m_log_lines.push_back("waits for places are decided from priors: service=" +
                                state.m_service.str() + " runs_seen=0 waits_seen=0");
}

/// Logs a submission's first wait, within the bound on such lines.
void log_wait(shard& state, const task_name& name, const place_wait& wait,
              const place_decision& decision, std::size_t ahead, time_point now)
{
    locality_state& known = state.m_locality;
    if (!known.m_logged.insert(name.m_submission).second) {
        return;
    }
    if (now - known.m_log_window >= seconds(1)) {
        known.m_log_window = now;
        known.m_log_lines = 0;
    }
    if (known.m_log_lines >= max_log_lines_per_second) {
        ++known.m_counts.m_unlogged_waits;
        return;
    }
    ++known.m_log_lines;
    const auto ms = [](duration length) {
        return std::to_string(std::chrono::duration_cast<milliseconds>(length).count());
    };
    state.m_log_lines.push_back(
        "task waits for its place: task=" + to_string(name) + " place=" + wait.m_place +
        " longest_wait_ms=" + ms(wait.m_until - now) +
        " room_expected_in_ms=" + ms(wait.m_expected) +
        " longer_elsewhere_ms=" + ms(wait.m_longer) + " waiting_ahead=" + std::to_string(ahead) +
        " reason=" + std::string(to_text(decision.m_reason)));
}

/// Ends a wait and learns from it.
void end_wait(shard& state, std::map<task_name, place_wait>::iterator found, bool found_room,
              time_point now)
{
    locality_state& known = state.m_locality;
    const place_wait& wait = found->second;
    const duration waited = now - wait.m_since;
    ++(found_room && waited < wait.m_longer ? known.m_counts.m_waits_paid
                                            : known.m_counts.m_waits_unpaid);
    known.m_counts.m_wait_seconds += to_milliseconds(waited) / 1000;
    add_wait(known.m_wait_histories[wait.m_place], wait.m_expected, waited, found_room);
    known.m_waits.erase(found);
}

/// Keeps a wait, or begins one.
void keep_waiting(shard& state, const placement_request& request, const expected_room& room,
                  const place_decision& decision, duration longer, std::int64_t cpu_millis,
                  time_point now)
{
    locality_state& known = state.m_locality;
    const auto [found, is_new] = known.m_waits.try_emplace(request.m_name);
    place_wait& wait = found->second;
    if (is_new) {
        wait = {room.m_rack, now, {}, now, room.m_uncorrected, longer, cpu_millis};
    }
    const duration since_seen = std::min<duration>(now - wait.m_seen_at, max_counted_gap);
    known.m_counts.m_idle_core_seconds +=
        static_cast<double>(cpu_millis) / 1000 * to_milliseconds(since_seen) / 1000;
    wait.m_seen_at = now;
    wait.m_until = now + decision.m_wait;
    if (is_new) {
        log_wait(state, request.m_name, wait, decision, known.m_waits.size() - 1, now);
    }
}

/// Decides about `count` tasks that can start elsewhere but would take longer there.
bool decide_wait(shard& state, candidate_workers& candidates, const placement_request& request,
                 std::uint32_t count, const std::vector<std::string>& racks, double factor,
                 time_point now)
{
    locality_state& known = state.m_locality;
    activate(state);
    const expected_room room = find_first_room(state, candidates, request, count, racks, now);
    const submission_record& record = *request.m_record;
    const auto found = known.m_waits.find(request.m_name);
    place_question question;
    question.m_time_here = request.m_expected_duration;
    question.m_time_elsewhere = scale(request.m_expected_duration, factor);
    question.m_room_in = room.m_after;
    question.m_waited = found == known.m_waits.end() ? duration(0) : now - found->second.m_since;
    question.m_slack = record.m_objective - now - record.m_remaining_critical_path;
    question.m_hard_slack = record.m_hard_deadline - now - record.m_remaining_critical_path;
    const double used = use_share(state, candidates);
    question.m_idle_price = idle_price_of_full_pool * used;
    // Others need the cores of a longer run only once nearly all are in use.
    question.m_work_price = work_price_of_full_pool * std::pow(used, work_price_power);
    place_decision decision = decide_by_rule(known.m_rule, known.m_fixed_wait, question);
    if (now - state.m_half_used_at >= max_wait_in_idle_pool &&
        question.m_waited >= max_wait_in_idle_pool) {
        decision.m_action = place_action::second_best;
    }
    if (decision.m_action == place_action::second_best) {
        if (found != known.m_waits.end()) {
            end_wait(state, found, false, now);
        }
        return false;
    }
    keep_waiting(state, request, room, decision, question.m_time_elsewhere - question.m_time_here,
                 request.m_demand.m_cpu_millis * count, now);
    book_waiting_tasks(state, candidates, request, room.m_rack, count, now);
    return true;
}

} // namespace

double place_factor(const shard& state, const submission_step& step, const worker_record& worker)
{
    const bool is_remote =
        !step.m_data_rack.empty() && worker.m_info.m_rack.str() != step.m_data_rack;
    return is_remote ? state.m_bounds.m_remote_factor : 1;
}

bool waits_for_data_rack(shard& state, candidate_workers& candidates,
                         const placement_request& request, const worker_record& elsewhere,
                         time_point now)
{
    return decide_wait(state, candidates, request, 1, {request.m_step->m_data_rack},
                       place_factor(state, *request.m_step, elsewhere), now);
}

bool gang_waits(shard& state, candidate_workers& candidates, const placement_request& request,
                const std::vector<std::string>& racks, time_point now)
{
    return decide_wait(state, candidates, request, request.m_step->m_task_count, racks,
                       state.m_bounds.m_remote_factor, now);
}

void book_waiting_tasks(shard& state, candidate_workers& candidates,
                        const placement_request& request, const std::string& rack,
                        std::uint32_t count, time_point now)
{
    place_forecast& forecast = forecast_place(state, candidates, rack, now);
    const std::vector<bool> excluded = find_excluded(state, forecast, request);
    const expected_booking work{request.m_demand, request.m_expected_duration};
    for (std::uint32_t i = 0; i < std::min(count, max_bookings_per_step); ++i) {
        const std::optional<std::size_t> worker = book(forecast.m_outlook, work, excluded);
        if (!worker) {
            return;
        }
        forecast.m_bookings[*worker].push_back(work);
    }
}

void note_place_start(shard& state, const task_name& name, bool is_at_place, time_point now)
{
    locality_state& known = state.m_locality;
    activate(state);
    ++(is_at_place ? known.m_counts.m_starts_at_place : known.m_counts.m_starts_elsewhere);
    const auto found = known.m_waits.find(name);
    if (found != known.m_waits.end()) {
        end_wait(state, found, is_at_place, now);
    }
}

void note_run_ratio(shard& state, double ratio)
{
    if (state.m_locality.m_is_active) {
        add_overrun(state.m_locality.m_overruns, ratio);
    }
}

void forget_ended_waits(shard& state, time_point now)
{
    locality_state& known = state.m_locality;
    if (!known.m_is_active || now < known.m_next_review) {
        return;
    }
    known.m_next_review = now + wait_retention;
    std::erase_if(known.m_waits,
                  [&](const auto& entry) { return now - entry.second.m_seen_at > wait_retention; });
    std::erase_if(known.m_logged, [&](const submission_id& id) {
        const auto found = state.m_submissions.find(id);
        return found == state.m_submissions.end() || found->second->m_final_decided;
    });
    // Places without workers any more are forgotten.
    std::set<std::string> racks;
    for (const auto& [id, worker] : state.m_workers) {
        racks.insert(worker->m_info.m_rack.str());
    }
    std::erase_if(known.m_wait_histories,
                  [&](const auto& entry) { return !racks.contains(entry.first); });
}

} // namespace guavabay
