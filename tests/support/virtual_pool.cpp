#include "support/virtual_pool.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace guavabay {

namespace {

constexpr milliseconds time_step{1};
constexpr milliseconds hold_interval{40};
constexpr milliseconds write_interval{20};
constexpr milliseconds stop_time{150};
constexpr milliseconds gang_wait{3000};
constexpr milliseconds advice_base_time{40};
constexpr milliseconds advice_time_per_worker{10};
constexpr std::size_t workers_per_rack = 4;

/// Time in which a cancellation has to be confirmed in calm, and in which its runs have to be told
/// to stop, as the platform allows it.
constexpr milliseconds cancel_answer_time{4000};
constexpr milliseconds cancel_time{3000};

/// Calm for this long ends the effect of a disturbance, and of a start that came late.
constexpr milliseconds calm_time{3000};

/// Time after which an order without an answer counts as unanswered, where answers take time.
constexpr milliseconds order_time_limit{800};

/// Time that the other service takes to find a new owner.
constexpr milliseconds other_service_takeover{400};
constexpr milliseconds other_service_lease{3000};

/// Time between two checks of the runs of cancelled submissions.
constexpr milliseconds check_interval{10};

/// Name of the other service, to which workers move.
const service_id other_service("other");

/// How early a task of a repeated submission may start, as the platform allows it.
constexpr std::int64_t early_start_tolerance_ms = 250;

/// Longest lease that a worker grants, on its own clock.
constexpr std::int64_t max_lease_ms = 10000;

/// Longer than any test, so that each incarnation of a worker starts later than the one before.
constexpr std::int64_t incarnation_distance_ms = 1000000;

/// How late an order arrives that gets no answer.
milliseconds random_delay(std::mt19937_64& random)
{
    return milliseconds(std::uniform_int_distribution<std::int64_t>(2000, 12000)(random));
}

wall_time wall_at(time_point now)
{
    return wall_time(std::chrono::duration_cast<milliseconds>(now.time_since_epoch()) +
                     seconds(1700000000));
}

} // namespace

std::optional<time_point> last_moment_of_run(const requested_cancellation& cancelled,
                                             const virtual_run& run, time_point calm_since,
                                             time_point now)
{
    const time_point waited_until = std::max(cancelled.m_asked_at, calm_since) + cancel_answer_time;
    if (!cancelled.m_stored_at && now < waited_until) {
        return std::nullopt;
    }
    const time_point due =
        cancelled.m_stored_at ? std::min(*cancelled.m_stored_at, waited_until) : waited_until;
    const time_point late_start = run.m_started_late ? run.m_started : time_point{};
    return std::max({due + cancel_time, calm_since + calm_time, late_start + calm_time}) +
           stop_time;
}

virtual_pool::virtual_pool(std::size_t workers, resources each, std::uint64_t seed) : m_random(seed)
{
    m_contract.m_queue = queue_id("q");
    m_contract.m_service = service_id("s");
    m_contract.m_max_attempts = 3;
    m_contract.m_stretch_factor = 1.6;
    m_contract.m_target = milliseconds(600);
    for (std::size_t i = 0; i < workers; ++i) {
        virtual_worker worker;
        worker.m_listing.m_id = worker_id("w" + std::to_string(i));
        worker.m_listing.m_machine = machine_id("m" + std::to_string(i));
        worker.m_listing.m_address = "10.0.0." + std::to_string(i + 1) + ":80";
        worker.m_listing.m_service = service_id("s");
        worker.m_listing.m_rack = rack_id("r" + std::to_string(i / workers_per_rack));
        worker.m_listing.m_labels = {"a", worker.m_listing.m_rack.str()};
        worker.m_listing.m_capacity = each;
        worker.m_incarnation_start_ms = static_cast<std::int64_t>(1000 + i);
        worker.m_listing.m_incarnation_start_ms = worker.m_incarnation_start_ms;
        m_workers.push_back(std::move(worker));
    }
    change_owner();
}

std::size_t virtual_pool::change_owner()
{
    auto owner = std::make_unique<virtual_owner>();
    shard& state = owner->m_shard;
    state.m_service = service_id("s");
    state.m_bounds.m_remote_factor = m_remote_factor;
    state.m_token = fencing_token(m_next_token++);
    state.m_next_run = state.m_token.get() << 20;
    if (m_has_route) {
        set_queues(state, {m_contract});
    }
    guavabay::set_organisations(state, m_organisations);
    for (const std::vector<log_entry>& batch : m_log) {
        for (const log_entry& entry : batch) {
            replay_entry(state, entry, m_now, wall_at(m_now));
        }
        mark_cancellations(batch);
    }
    if (m_owners.empty() || !current_owner().m_shard.m_lost) {
        disturb();
    }
    finish_replay(state, m_now, wall_at(m_now));
    m_owners.push_back(std::move(owner));
    return m_owners.size() - 1;
}

wall_time virtual_pool::wall() const
{
    return wall_at(m_now);
}

std::int64_t virtual_pool::clock_of(const virtual_worker& worker) const
{
    const double since = to_milliseconds(m_now - worker.m_clock_zero);
    return static_cast<std::int64_t>(since * worker.m_clock_speed);
}

void virtual_pool::check_start(std::size_t index, const worker_order& order)
{
    check_start(index, order, false);
}

void virtual_pool::check_start(std::size_t index, const worker_order& order, bool is_late)
{
    const virtual_worker& worker = m_workers[index];
    const std::string text = to_string(order.m_task);
    const auto submitted = m_submitted.find(order.m_task.m_submission.str());
    if (submitted == m_submitted.end()) {
        m_violations.push_back("UNASKED " + text);
        return;
    }
    // A start that was sent in time and arrives late is judged by how long it runs.
    if (!is_late && m_cancelled.contains(order.m_task.m_submission.str())) {
        m_violations.push_back("UNASKED after cancel " + text);
    }
    const submission& definition = submitted->second;
    const std::int64_t due_ms =
        definition.m_first_start_ms + order.m_task.m_occurrence * definition.m_interval_ms;
    if (definition.m_repeat_count > 0 &&
        wall_at(m_now).time_since_epoch().count() < due_ms - early_start_tolerance_ms) {
        m_violations.push_back("ORDER before its time " + text);
    }
    const submission_step& step_definition = definition.m_steps[order.m_task.m_step];
    for (const virtual_worker& other : m_workers) {
        for (const auto& [run, state] : other.m_runs) {
            if (other.m_up && run.first == order.m_task) {
                m_violations.push_back("TWICE " + text);
            }
        }
    }
    if (m_done_acknowledged.contains(order.m_task) ||
        (m_done.contains(order.m_task) && !step_definition.m_long_running &&
         m_done_acknowledged.contains(order.m_task))) {
        m_violations.push_back("TWICE after its end " + text);
    }
    const auto failed = m_failed_acknowledged.find(order.m_task);
    if (failed != m_failed_acknowledged.end() && failed->second >= m_contract.m_max_attempts) {
        m_violations.push_back("BUDGET " + text);
    }
    for (const std::uint32_t earlier : step_definition.m_after) {
        for (std::uint32_t i = 0; i < submitted->second.m_steps[earlier].m_task_count; ++i) {
            if (!m_done.contains(
                    {order.m_task.m_submission, order.m_task.m_occurrence, earlier, i})) {
                m_violations.push_back("ORDER " + text);
            }
        }
    }
    resources used = step_definition.m_demand;
    std::uint32_t same = 1;
    for (const auto& [run, state] : worker.m_runs) {
        used =
            used + m_submitted.at(run.first.m_submission.str()).m_steps[run.first.m_step].m_demand;
        same += run.first.m_submission == order.m_task.m_submission &&
                        run.first.m_step == order.m_task.m_step
                    ? 1
                    : 0;
    }
    if (!fits(used, worker.m_listing.m_capacity)) {
        m_violations.push_back("LIMIT " + text);
    }
    if (step_definition.m_max_per_worker > 0 && same > step_definition.m_max_per_worker) {
        m_violations.push_back("ROUTE " + text);
    }
}

void virtual_pool::start_run(std::size_t index, const worker_order& order, bool is_late)
{
    check_start(index, order, is_late);
    virtual_worker& worker = m_workers[index];
    const auto submitted = m_submitted.find(order.m_task.m_submission.str());
    if (submitted == m_submitted.end()) {
        return;
    }
    const submission_step& step_definition = submitted->second.m_steps[order.m_task.m_step];
    virtual_run run;
    run.m_started = m_now;
    run.m_started_late = is_late;
    m_late_starts += is_late ? 1 : 0;
    m_late_starts_after_cancel +=
        is_late && m_cancelled.contains(order.m_task.m_submission.str()) ? 1 : 0;
    const bool is_remote = !step_definition.m_data_rack.empty() &&
                           worker.m_listing.m_rack.str() != step_definition.m_data_rack;
    run.m_slow_down = is_remote ? m_remote_factor : 1;
    std::lognormal_distribution<double> noise(0, m_duration_sigma);
    double factor = m_duration_sigma > 0 ? noise(m_random) : 1;
    factor = m_duration_factor ? m_duration_factor(order.m_task) : factor;
    run.m_total_ms = step_definition.m_long_running
                         ? -1
                         : static_cast<double>(step_definition.m_estimate.count()) * factor;
    if (m_true_time_ms && !step_definition.m_long_running) {
        run.m_total_ms = m_true_time_ms(order.m_task);
    }
    std::uniform_real_distribution<double> chance(0, 1);
    run.m_fails = chance(m_random) < worker.m_failing_share ||
                  m_always_failing.contains(order.m_task.m_submission.str());
    if (virtual_gang* gang = find_gang({order.m_task, order.m_run})) {
        gang->m_total_ms = gang->m_total_ms > 0 ? gang->m_total_ms : run.m_total_ms;
        run.m_total_ms = gang->m_total_ms;
    }
    worker.m_runs[{order.m_task, order.m_run}] = run;
    ++m_starts[to_string(order.m_task)];
}

void virtual_pool::extend_lease(virtual_worker& worker, std::int64_t deadline_ms) const
{
    const std::int64_t granted_ms = std::min(deadline_ms - clock_of(worker), max_lease_ms);
    const double left = static_cast<double>(granted_ms) / worker.m_clock_speed;
    worker.m_lease_until =
        std::max(worker.m_lease_until, m_now + milliseconds(static_cast<std::int64_t>(left)));
}

void virtual_pool::crash_worker(std::size_t index)
{
    virtual_worker& worker = m_workers[index];
    worker.m_up = false;
    worker.m_refuses_connections = true;
    worker.m_runs.clear();
    worker.m_ends.clear();
    worker.m_newest_finished.clear();
    worker.m_next_end = 1;
    worker.m_token = 0;
    worker.m_lease_until = {};
    disturb();
}

void virtual_pool::restart_worker(std::size_t index, milliseconds registration_delay)
{
    virtual_worker& worker = m_workers[index];
    worker.m_up = true;
    worker.m_refuses_connections = false;
    worker.m_incarnation_start_ms += incarnation_distance_ms;
    worker.m_clock_zero = m_now;
    worker.m_registers_at = m_now + registration_delay;
    disturb();
}

bool virtual_pool::has_late_order(std::size_t worker) const
{
    return std::any_of(m_delayed_orders.begin(), m_delayed_orders.end(),
                       [worker](const delayed_order& order) { return order.m_worker == worker; });
}

void virtual_pool::restart_at_other_service(std::size_t index)
{
    restart_worker(index, milliseconds(0));
    m_workers[index].m_listing.m_service = other_service;
}

order_outcome virtual_pool::carry_out(std::size_t index, const worker_order& order,
                                      std::int64_t token, std::optional<time_point> sent_late)
{
    virtual_worker& worker = m_workers[index];
    if (worker.m_is_other_lifetime) {
        return order_outcome::other_incarnation;
    }
    if (token < worker.m_token) {
        return order_outcome::refused_stale_token;
    }
    worker.m_token = token;
    const std::pair key(order.m_task, order.m_run);
    const auto over = worker.m_newest_finished.find(order.m_task);
    if (order.m_kind == worker_order::kind::start) {
        if (worker.m_runs.contains(key)) {
            return order_outcome::accepted;
        }
        if (over != worker.m_newest_finished.end() && order.m_run <= over->second) {
            return order_outcome::refused_stale_run;
        }
        if (m_contract.m_needs_advice) {
            const auto ticket = m_tickets.find(order.m_ticket);
            if (ticket == m_tickets.end() || ticket->second < m_now) {
                ++m_rejected_tickets;
                return order_outcome::refused_ticket;
            }
        }
        const bool moves = sent_late && m_late_deadlines_move;
        const milliseconds moved =
            moves ? std::chrono::duration_cast<milliseconds>(m_now - *sent_late) : milliseconds(0);
        const std::int64_t deadline_ms = order.m_deadline_ms + moved.count();
        if (deadline_ms <= clock_of(worker)) {
            return order_outcome::refused_lease_ended;
        }
        extend_lease(worker, deadline_ms);
        start_run(index, order, sent_late.has_value());
        return order_outcome::accepted;
    }
    if (order.m_kind == worker_order::kind::stop) {
        const auto run = worker.m_runs.find(key);
        if (run == worker.m_runs.end()) {
            run_number& newest = worker.m_newest_finished[order.m_task];
            newest = std::max(newest, order.m_run);
        }
        else if (run->second.m_stop_at == time_point{}) {
            run->second.m_stop_at = m_now + stop_time;
        }
    }
    return order_outcome::accepted;
}

virtual_gang* virtual_pool::find_gang(const std::pair<task_name, run_number>& run)
{
    const auto submitted = m_submitted.find(run.first.m_submission.str());
    if (submitted == m_submitted.end() || !submitted->second.m_steps[run.first.m_step].m_gang) {
        return nullptr;
    }
    std::pair<task_name, run_number> key = run;
    key.first.m_index = 0;
    return &m_gangs[key];
}

void virtual_pool::complete_gangs()
{
    std::map<virtual_gang*, std::uint32_t> members;
    std::map<virtual_gang*, std::set<std::string>> racks;
    for (virtual_worker& worker : m_workers) {
        for (auto& [key, run] : worker.m_runs) {
            virtual_gang* gang = find_gang(key);
            if (gang == nullptr) {
                continue;
            }
            const submission_step& step =
                m_submitted.at(key.first.m_submission.str()).m_steps[key.first.m_step];
            racks[gang].insert(worker.m_listing.m_rack.str());
            gang->m_slow_down = std::max(gang->m_slow_down, run.m_slow_down);
            if (step.m_same_rack && racks[gang].size() > 1) {
                gang->m_slow_down = m_remote_factor;
            }
            if (++members[gang] == step.m_task_count) {
                gang->m_complete = true;
            }
        }
    }
}

void virtual_pool::end_run(virtual_worker& worker, const std::pair<task_name, run_number>& run,
                           run_end how)
{
    worker.m_ends.push_back({worker.m_next_end++, run.first, run.second, how, ""});
    run_number& newest = worker.m_newest_finished[run.first];
    newest = std::max(newest, run.second);
    worker.m_runs.erase(run);
    if (how == run_end::done) {
        m_done.insert(run.first);
    }
    else if (virtual_gang* gang = find_gang(run)) {
        gang->m_broken = true;
    }
}

void virtual_pool::advance_workers()
{
    complete_gangs();
    for (virtual_worker& worker : m_workers) {
        if (!worker.m_up) {
            continue;
        }
        std::vector<std::pair<std::pair<task_name, run_number>, run_end>> ends;
        for (auto& [key, run] : worker.m_runs) {
            const virtual_gang* gang = find_gang(key);
            const bool works = gang == nullptr || gang->m_complete;
            run.m_slow_down = gang == nullptr ? run.m_slow_down : gang->m_slow_down;
            run.m_done_ms +=
                works ? worker.m_speed * to_milliseconds(time_step) / run.m_slow_down : 0;
            if (gang != nullptr && gang->m_broken) {
                ends.emplace_back(key, run_end::gang_broken);
            }
            else if (!works && m_now - run.m_started > gang_wait) {
                ends.emplace_back(key, run_end::gang_incomplete);
            }
            else if (m_now > worker.m_lease_until) {
                ends.emplace_back(key, run_end::lease_ended);
            }
            else if (run.m_stop_at != time_point{} && m_now >= run.m_stop_at) {
                ends.emplace_back(key, run_end::stopped);
            }
            else if (run.m_total_ms >= 0 && run.m_done_ms >= run.m_total_ms) {
                ends.emplace_back(key, run.m_fails ? run_end::failed : run_end::done);
            }
        }
        for (const auto& [key, how] : ends) {
            end_run(worker, key, how);
        }
    }
    for (auto it = m_delayed_orders.begin(); it != m_delayed_orders.end();) {
        if (it->m_at > m_now) {
            ++it;
            continue;
        }
        if (m_workers[it->m_worker].m_up) {
            carry_out(it->m_worker, it->m_order, it->m_token, it->m_sent_at);
        }
        it = m_delayed_orders.erase(it);
    }
    for (auto it = m_delayed_holds.begin(); it != m_delayed_holds.end();) {
        if (it->m_at > m_now) {
            ++it;
            continue;
        }
        virtual_worker& worker = m_workers[it->m_worker];
        if (worker.m_up && !worker.m_is_other_lifetime && it->m_token >= worker.m_token) {
            if (it->m_request.m_deadline_ms && m_late_deadlines_move) {
                *it->m_request.m_deadline_ms +=
                    std::chrono::duration_cast<milliseconds>(m_now - it->m_sent_at).count();
            }
            accept_hold(worker, it->m_request, it->m_token);
        }
        it = m_delayed_holds.erase(it);
    }
}

void virtual_pool::accept_hold(virtual_worker& worker, const hold_request& request,
                               std::int64_t token)
{
    worker.m_token = token;
    if (request.m_deadline_ms) {
        extend_lease(worker, *request.m_deadline_ms);
    }
    std::erase_if(worker.m_ends, [&](const reported_end& end) {
        if (end.m_number > request.m_acked_through) {
            return false;
        }
        if (end.m_outcome == run_end::done) {
            m_done_acknowledged.insert(end.m_task);
        }
        m_failed_acknowledged[end.m_task] += end.m_outcome == run_end::failed ? 1 : 0;
        return true;
    });
}

void virtual_pool::hold_by_other_service()
{
    for (virtual_worker& worker : m_workers) {
        if (!worker.m_up || worker.m_listing.m_service != other_service ||
            m_now < m_other_service_from) {
            continue;
        }
        if (m_other_service_token == 0 || worker.m_token > m_other_service_token) {
            m_other_service_token = m_next_token++;
            m_other_service_from = m_now + other_service_takeover;
            continue;
        }
        worker.m_token = m_other_service_token;
        worker.m_ends.clear();
        extend_lease(worker, clock_of(worker) + other_service_lease.count());
        for (auto& [key, run] : worker.m_runs) {
            run.m_stop_at = run.m_stop_at == time_point{} ? m_now + stop_time : run.m_stop_at;
        }
    }
}

bool virtual_pool::is_disturbed() const
{
    const std::size_t current = m_owners.size() - 1;
    for (std::size_t i = 0; i < m_owners.size(); ++i) {
        const virtual_owner& owner = *m_owners[i];
        // The loss of the shard to another owner is the scheduler's doing.
        const bool works = owner.m_alive && !owner.m_shard.m_lost;
        if (i == current ? !owner.m_alive || !owner.m_has_store : works) {
            return true;
        }
    }
    return !m_delayed_orders.empty() || !m_delayed_holds.empty() ||
           std::any_of(m_workers.begin(), m_workers.end(), [&](const virtual_worker& worker) {
               return worker.m_delayed_share > 0 || worker.m_delayed_hold_share > 0 ||
                      worker.m_lost_hold_share > 0 || worker.m_speed < 1 ||
                      worker.m_is_other_lifetime || worker.m_up != worker.m_listed ||
                      worker.m_partitioned_owners.contains(current) ||
                      m_now < worker.m_registers_at;
           });
}

void virtual_pool::check_cancelled_runs()
{
    for (const virtual_worker& worker : m_workers) {
        for (const auto& [key, run] : worker.m_runs) {
            const auto cancelled = m_cancellations.find(key.first.m_submission.str());
            if (!worker.m_up || cancelled == m_cancellations.end()) {
                continue;
            }
            ++m_checked_runs;
            const std::optional<time_point> last =
                last_moment_of_run(cancelled->second, run, m_calm_since, m_now);
            if (last && m_now > *last && m_reported_runs.insert(key).second) {
                m_violations.push_back("UNASKED runs on " + to_string(key.first) + " run " +
                                       std::to_string(key.second.get()) + " worker " +
                                       worker.m_listing.m_id.str());
            }
        }
    }
}

void virtual_pool::hold(std::size_t index)
{
    virtual_owner& owner = *m_owners[index];
    std::vector<worker_listing> listings;
    for (virtual_worker& worker : m_workers) {
        if (m_now >= worker.m_registers_at) {
            worker.m_listing.m_incarnation_start_ms = worker.m_incarnation_start_ms;
            if (!worker.m_new_address.empty()) {
                worker.m_listing.m_address = worker.m_new_address;
            }
        }
        if (worker.m_listed) {
            listings.push_back(worker.m_listing);
        }
    }
    if (owner.m_has_store && m_now >= owner.m_next_list) {
        owner.m_next_list = m_now + m_list_interval;
        update_workers(owner.m_shard, listings, m_now);
    }
    for (std::size_t i = 0; i < m_workers.size(); ++i) {
        virtual_worker& worker = m_workers[i];
        const worker_id& id = worker.m_listing.m_id;
        if (const auto report = owner.m_reports.find(id); report != owner.m_reports.end()) {
            if (m_now >= report->second.m_at) {
                apply_report(owner.m_shard, id, report->second.m_report, report->second.m_sent_at,
                             m_now, wall_at(m_now) + owner.m_time_of_day_error);
                owner.m_reports.erase(report);
            }
            continue;
        }
        const std::optional<hold_request> request = next_hold_request(owner.m_shard, id, m_now);
        if (!request) {
            continue;
        }
        std::uniform_real_distribution<double> chance(0, 1);
        if (!worker.m_up || worker.m_partitioned_owners.contains(index) ||
            !is_at(worker, request->m_address) ||
            (worker.m_lost_hold_share > 0 && chance(m_random) < worker.m_lost_hold_share)) {
            apply_hold_failure(owner.m_shard, id, order_outcome::unknown, m_now);
            continue;
        }
        if (worker.m_is_other_lifetime) {
            apply_hold_failure(owner.m_shard, id, order_outcome::other_incarnation, m_now);
            continue;
        }
        const std::int64_t token = token_of(owner.m_shard, id).get();
        if (worker.m_delayed_hold_share > 0 && chance(m_random) < worker.m_delayed_hold_share) {
            m_delayed_holds.push_back({m_now + random_delay(m_random), i, *request, token, m_now});
            apply_hold_failure(owner.m_shard, id, order_outcome::unknown, m_now);
            continue;
        }
        if (token < worker.m_token) {
            apply_hold_failure(owner.m_shard, id,
                               judge_refusal(owner.m_shard, id, fencing_token(token),
                                             order_outcome::refused_stale_token),
                               m_now);
            continue;
        }
        accept_hold(worker, *request, token);
        worker_report report;
        report.m_clock_ms = clock_of(worker);
        report.m_incarnation_start_ms = worker.m_incarnation_start_ms;
        report.m_ended = worker.m_ends;
        for (const auto& [key, run] : worker.m_runs) {
            const bool lasting = run.m_total_ms < 0;
            const auto percent = static_cast<std::int32_t>(
                lasting
                    ? (run.m_done_ms > 300 ? 100 : 0)
                    : 100 * std::pow(std::min(1.0, run.m_done_ms / std::max(1.0, run.m_total_ms)),
                                     m_progress_power));
            report.m_running.push_back({key.first, key.second, "", percent, 0});
        }
        if (m_max_answer_time > milliseconds(0)) {
            std::uniform_int_distribution<std::int64_t> time(0, m_max_answer_time.count());
            owner.m_reports[id] = {m_now + milliseconds(time(m_random)), m_now - time_step, report};
            continue;
        }
        apply_report(owner.m_shard, id, report, m_now - time_step, m_now,
                     wall_at(m_now) + owner.m_time_of_day_error);
    }
}

void virtual_pool::write(std::size_t index)
{
    virtual_owner& owner = *m_owners[index];
    if (!owner.m_has_store) {
        return;
    }
    if (index + 1 != m_owners.size()) {
        owner.m_shard.m_lost = true;
        return;
    }
    owner.m_proven_at = m_now;
    if (!owner.m_written) {
        owner.m_written = take_batch(owner.m_shard);
        if (!owner.m_written) {
            return;
        }
        owner.m_written->m_revision = m_next_token++;
        owner.m_write_answer_at = m_now;
        owner.m_written_early = false;
        if (m_max_write_time > milliseconds(0)) {
            std::uniform_int_distribution<std::int64_t> time(0, m_max_write_time.count());
            owner.m_write_answer_at = m_now + milliseconds(time(m_random));
            owner.m_written_early = time(m_random) % 2 == 0;
        }
        if (owner.m_written_early) {
            append(owner.m_written->m_entries);
        }
    }
    if (m_now < owner.m_write_answer_at) {
        return;
    }
    const log_batch batch = std::move(*owner.m_written);
    owner.m_written.reset();
    if (!owner.m_written_early) {
        append(batch.m_entries);
    }
    mark_cancellations(batch.m_entries);
    mark_batch_stored(owner.m_shard, batch, wall_at(m_now));
    for (const log_entry& entry : batch.m_entries) {
        if (const auto* cancelled = std::get_if<log_cancelled>(&entry)) {
            note_cancellation_stored(owner.m_shard, cancelled->m_id, m_now);
        }
    }
}

bool virtual_pool::is_at(const virtual_worker& worker, const std::string& address)
{
    return address ==
           (worker.m_new_address.empty() ? worker.m_listing.m_address : worker.m_new_address);
}

void virtual_pool::append(const std::vector<log_entry>& entries)
{
    if (!entries.empty()) {
        m_log.push_back(*decode_log(encode_log(entries)));
    }
}

void virtual_pool::mark_cancellations(const std::vector<log_entry>& entries)
{
    for (const log_entry& entry : entries) {
        if (const auto* cancelled = std::get_if<log_cancelled>(&entry)) {
            m_cancelled.insert(cancelled->m_id.str());
            requested_cancellation& request = m_cancellations[cancelled->m_id.str()];
            request.m_stored_at = request.m_stored_at.value_or(m_now);
        }
    }
}

void virtual_pool::give_orders(std::size_t index)
{
    virtual_owner& owner = *m_owners[index];
    owner.m_shard.m_may_start = owner.m_has_store;
    owner.m_shard.m_may_hold =
        !m_limits_renewals || owner.m_has_store ||
        m_now < owner.m_proven_at + owner.m_shard.m_bounds.m_unproven_renewal_time;
    const wall_time wall = wall_at(m_now) + owner.m_time_of_day_error;
    plan(owner.m_shard, m_now, wall);
    std::vector<worker_order> orders;
    orders.swap(owner.m_shard.m_orders);
    for (const worker_order& order : orders) {
        const auto found =
            std::find_if(m_workers.begin(), m_workers.end(), [&](const virtual_worker& one) {
                return one.m_listing.m_id == order.m_worker;
            });
        const auto worker = static_cast<std::size_t>(found - m_workers.begin());
        order_outcome outcome = order_outcome::unknown;
        const fencing_token token = token_of(owner.m_shard, order.m_worker);
        if (order.m_kind == worker_order::kind::start &&
            m_cancelled.contains(order.m_task.m_submission.str())) {
            m_violations.push_back("UNASKED ordered after cancel " + to_string(order.m_task));
        }
        std::uniform_real_distribution<double> chance(0, 1);
        if (!found->m_up || found->m_partitioned_owners.contains(index)) {
            outcome =
                found->m_refuses_connections ? order_outcome::not_sent : order_outcome::unknown;
        }
        else if (!is_at(*found, order.m_address)) {
            outcome = order_outcome::not_sent;
        }
        else if (chance(m_random) < found->m_delayed_share) {
            m_delayed_orders.push_back(
                {m_now + random_delay(m_random), worker, order, token.get(), m_now});
        }
        else {
            outcome = judge_refusal(owner.m_shard, order.m_worker, token,
                                    carry_out(worker, order, token.get()));
        }
        answer_order(index, order, outcome);
    }
}

void virtual_pool::answer_order(std::size_t index, const worker_order& order, order_outcome outcome)
{
    virtual_owner& owner = *m_owners[index];
    if (m_max_answer_time > milliseconds(0)) {
        std::uniform_int_distribution<std::int64_t> time(0, m_max_answer_time.count());
        const milliseconds way =
            outcome == order_outcome::unknown ? order_time_limit : milliseconds(time(m_random));
        owner.m_answers.push_back({m_now + way, order, outcome});
        return;
    }
    apply_order_answer(owner.m_shard, order, outcome, m_now,
                       wall_at(m_now) + owner.m_time_of_day_error);
}

void virtual_pool::receive_answers(std::size_t index)
{
    virtual_owner& owner = *m_owners[index];
    for (auto it = owner.m_answers.begin(); it != owner.m_answers.end();) {
        if (it->m_at > m_now) {
            ++it;
            continue;
        }
        apply_order_answer(owner.m_shard, it->m_order, it->m_outcome, m_now,
                           wall_at(m_now) + owner.m_time_of_day_error);
        it = owner.m_answers.erase(it);
    }
}

void virtual_pool::advise(std::size_t index)
{
    virtual_owner& owner = *m_owners[index];
    if (owner.m_advice_request && m_now >= owner.m_advice_at) {
        advice_reply reply;
        reply.m_validity = m_contract.m_advice_validity;
        for (const worker_id& id : owner.m_advice_request->m_workers) {
            for (const virtual_worker& worker : m_workers) {
                if (worker.m_listing.m_id == id && worker.m_allowed) {
                    const std::string ticket =
                        to_string(owner.m_advice_request->m_step) + "/" + id.str();
                    m_tickets[ticket] = m_now + reply.m_validity;
                    reply.m_permitted.push_back({id, ticket});
                }
            }
        }
        apply_advice_reply(owner.m_shard, *owner.m_advice_request, reply, m_now);
        owner.m_advice_request.reset();
    }
    if (!owner.m_advice_request) {
        owner.m_advice_request = next_advice_request(owner.m_shard, m_now);
        if (owner.m_advice_request) {
            owner.m_advice_at = m_now + advice_base_time +
                                advice_time_per_worker * owner.m_advice_request->m_workers.size();
        }
    }
}

void virtual_pool::run_for(milliseconds length)
{
    const time_point end = m_now + length;
    while (m_now < end) {
        m_now += time_step;
        advance_workers();
        if (m_checks_cancellations && m_now.time_since_epoch() % check_interval == duration(0)) {
            if (is_disturbed()) {
                disturb();
            }
            hold_by_other_service();
            check_cancelled_runs();
        }
        for (std::size_t i = 0; i < m_owners.size(); ++i) {
            virtual_owner& owner = *m_owners[i];
            if (!owner.m_alive || owner.m_shard.m_lost) {
                continue;
            }
            if (m_now >= owner.m_next_hold) {
                owner.m_next_hold = m_now + hold_interval;
                receive_answers(i);
                hold(i);
                give_orders(i);
                advise(i);
            }
            if (m_now >= owner.m_next_write) {
                owner.m_next_write = m_now + write_interval;
                write(i);
            }
        }
    }
}

void virtual_pool::set_remote_factor(double factor)
{
    m_remote_factor = factor;
    for (const std::unique_ptr<virtual_owner>& owner : m_owners) {
        owner->m_shard.m_bounds.m_remote_factor = factor;
    }
}

duration virtual_pool::true_remaining(const task_name& task) const
{
    for (const virtual_worker& worker : m_workers) {
        const auto run = worker.m_runs.lower_bound({task, run_number()});
        if (run == worker.m_runs.end() || run->first.first != task) {
            continue;
        }
        const double left_ms = std::max(0.0, run->second.m_total_ms - run->second.m_done_ms) *
                               run->second.m_slow_down / worker.m_speed;
        return duration(static_cast<std::int64_t>(left_ms * 1000));
    }
    return duration(0);
}

admission_result virtual_pool::submit(const std::string& id, submission what,
                                      const organisation_id& organisation)
{
    m_submitted[id] = what;
    return admit(current_owner().m_shard, submission_id(id), m_contract.m_queue, std::move(what),
                 m_now, wall_at(m_now), organisation);
}

void virtual_pool::set_organisations(organisation_directory organisations)
{
    m_organisations = std::move(organisations);
    guavabay::set_organisations(current_owner().m_shard, m_organisations);
}

bool virtual_pool::cancel(const std::string& id)
{
    note_cancellation(current_owner().m_shard, submission_id(id), m_now);
    m_cancellations.try_emplace(id, requested_cancellation{m_now, std::nullopt});
    return guavabay::cancel(current_owner().m_shard, submission_id(id));
}

std::optional<submission_state> virtual_pool::state(const std::string& id)
{
    return state_of(current_owner().m_shard, submission_id(id));
}

void virtual_pool::release()
{
    // An orderly release waits for its writes.
    const milliseconds write_time = std::exchange(m_max_write_time, milliseconds(0));
    current_owner().m_write_answer_at = m_now;
    write(m_owners.size() - 1);
    write(m_owners.size() - 1);
    m_max_write_time = write_time;
    m_log.push_back({make_release_entry(current_owner().m_shard)});
    current_owner().m_alive = false;
}

submission make_submission(const std::vector<std::uint32_t>& widths, resources each,
                           milliseconds estimate)
{
    submission what;
    what.m_spec = "spec";
    for (std::size_t i = 0; i < widths.size(); ++i) {
        submission_step one;
        one.m_task_count = widths[i];
        one.m_demand = each;
        one.m_estimate = estimate;
        if (i > 0) {
            one.m_after = {static_cast<std::uint32_t>(i - 1)};
        }
        what.m_steps.push_back(one);
    }
    return what;
}

} // namespace guavabay
