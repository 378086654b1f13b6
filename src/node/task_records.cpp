#include "node/task_records.h"

#include <algorithm>

#include "fleet/task_accounting.h"
#include "fleet/task_record.h"
#include "fleet/task_upkeep.h"

namespace guavabay {

namespace {

constexpr std::size_t most_writes = 32;           ///< Writes of one pool under way at a time.
constexpr std::size_t most_finished = 1000;       ///< Ended tasks of a pool that are kept.
constexpr std::chrono::minutes finished_time{10}; ///< How long an ended task is kept.
constexpr seconds write_patience{10};
constexpr std::string_view task_part = "task/";
constexpr std::string_view run_part = "run/";

/// The name behind a prefix; empty when the key does not start with it.
std::string name_behind(const std::string& key, const std::string& prefix)
{
    return key.starts_with(prefix) ? key.substr(prefix.size()) : std::string();
}

void take_run(task_board& board, const task_id& id, const std::string& value, time_point now)
{
    const std::optional<run_report> report = parse_run_report(value);
    if (!report) {
        return;
    }
    std::vector<task_order> repeated; // The record itself tells the platform what to stop.
    switch (report->m_state) {
    case run_state::running:
        on_task_started(board, id, report->m_attempt, repeated);
        on_task_usage(board, id, report->m_attempt, report->m_used);
        break;
    case run_state::saved:
        on_task_checkpointed(board, id, report->m_attempt);
        break;
    case run_state::done:
        on_task_done(board, id, report->m_attempt, report->m_used, now);
        break;
    case run_state::failed:
        on_task_failed(board, id, report->m_attempt, now);
        break;
    case run_state::stopped:
        break;
    }
    const auto found = board.m_tasks.find(id);
    const bool over = report->m_state != run_state::running && found != board.m_tasks.end() &&
                      found->second.m_attempt == report->m_attempt;
    if (over) {
        on_task_stopped(board, id);
    }
    const bool on_worker = found != board.m_tasks.end() && !found->second.m_worker.empty();
    const auto worker =
        on_worker ? board.m_workers.find(found->second.m_worker) : board.m_workers.end();
    if (worker != board.m_workers.end() && !worker->second.m_accepting) {
        drain_worker(board, worker->first);
    }
}

/// Puts a task onto the board as its record describes it, and ends it when that is wanted.
void restore_and_cancel(task_board& board, task one, time_point now)
{
    const task_id id = one.m_id;
    const bool cancel = one.m_cancel_requested;
    restore_task(board, std::move(one), now);
    if (cancel) {
        std::vector<task_order> repeated; // The record itself tells the platform what to stop.
        cancel_task(board, id, repeated);
    }
}

/// Notes what another process wrote into a task's record.
void adopt_record(task_board& board, const config_record& record, const task& stored)
{
    task& known = board.m_tasks.at(stored.m_id);
    known.m_revision = record.m_revision;
    if (stored.m_cancel_requested && !known.m_cancel_requested) {
        known.m_cancel_requested = true;
        std::vector<task_order> repeated; // The record itself tells the platform what to stop.
        cancel_task(board, stored.m_id, repeated);
    }
}

void take_task(const pool_id& pool, task_duty& duty, const task_id& id, const config_record& record,
               time_point now)
{
    std::optional<task> stored = parse_task(pool, id, record.m_value);
    if (!stored) {
        return;
    }
    const auto known = duty.m_board.m_tasks.find(id);
    if (known == duty.m_board.m_tasks.end()) {
        stored->m_revision = record.m_revision;
        if (stored->m_state == task_state::waiting && !stored->m_cancel_requested) {
            submit_task(duty.m_board, std::move(*stored), now);
        }
        else {
            restore_and_cancel(duty.m_board, std::move(*stored), now);
        }
        return;
    }
    if (known->second.m_revision >= record.m_revision) {
        return;
    }
    if (duty.m_writing.contains(id)) {
        duty.m_overtaking[id] = record;
    }
    else {
        adopt_record(duty.m_board, record, *stored);
        if (format_task(known->second) != record.m_value) {
            duty.m_board.m_changed_tasks.push_back(id);
        }
    }
}

/// Removes the record of a task that ended long ago.
void remove_finished(task_duty& duty, time_point now, std::vector<task_id>& removed)
{
    while (!duty.m_finished.empty() && duty.m_writes.size() + removed.size() < most_writes) {
        const auto& [ended, id] = duty.m_finished.front();
        const bool due = now - ended >= finished_time || duty.m_finished.size() > most_finished;
        const auto found = duty.m_board.m_tasks.find(id);
        const bool stopped =
            found == duty.m_board.m_tasks.end() || found->second.m_stopping_on.empty();
        if (!due || !stopped) {
            return;
        }
        removed.push_back(id);
        duty.m_finished.pop_front();
    }
}

void send_write(node_state& node, const pool_id& pool, task_duty& duty, const task& one,
                std::string value, time_point now, node_output& out)
{
    store_swap swap = make_swap(task_key(pool, one.m_id), one.m_revision, value);
    swap.m_guard_key = task_duty_key(pool);
    swap.m_guard_revision = duty.m_fence;
    const std::uint64_t call = call_store(node, std::move(swap), out);
    duty.m_writes[call] = {one.m_id, std::move(value), now};
    duty.m_writing[one.m_id] = call;
}

/// Gives up on writes whose result did not come; they are tried again.
void expire_writes(task_duty& duty, time_point now)
{
    std::erase_if(duty.m_writes, [&](const auto& entry) {
        const task_write& write = entry.second;
        if (now - write.m_sent < write_patience) {
            return false;
        }
        duty.m_writing.erase(write.m_task);
        duty.m_board.m_changed_tasks.push_back(write.m_task);
        return true;
    });
}

/// Takes the result of a task's write. False when another process has taken the duty.
bool settle_write(task_duty& duty, const task_write& write, const store_result& result,
                  time_point now)
{
    task_board& board = duty.m_board;
    const auto found = board.m_tasks.find(write.m_task);
    if (found == board.m_tasks.end()) {
        return true;
    }
    task& one = found->second;
    const bool removing = write.m_value.empty();
    if (result.m_outcome == store_outcome::unknown) {
        board.m_changed_tasks.push_back(write.m_task);
        if (removing) {
            duty.m_finished.emplace_front(now - finished_time, write.m_task);
        }
        return true;
    }
    const config_record& stored = result.m_record;
    const bool refused = result.m_outcome == store_outcome::refused;
    if (refused && stored.m_revision == one.m_revision) {
        return false;
    }
    const bool gone = removing ? !refused || stored.m_value.empty() : stored.m_value.empty();
    if (gone) {
        std::vector<task_order> none;
        cancel_task(board, write.m_task, none);
        board.m_tasks.erase(write.m_task);
        return true;
    }
    const std::optional<task> parsed = parse_task(one.m_pool, one.m_id, stored.m_value);
    if (refused && parsed) {
        adopt_record(board, stored, *parsed);
    }
    one.m_revision = stored.m_revision;
    if (format_task(one) != stored.m_value) {
        board.m_changed_tasks.push_back(write.m_task);
    }
    else if (is_final(one.m_state)) {
        duty.m_finished.emplace_back(now, write.m_task);
    }
    return true;
}

} // namespace

std::string pool_prefix(const pool_id& pool)
{
    return unwatched_mark + ("pool/" + pool.str()) + "/";
}

std::string task_key(const pool_id& pool, const task_id& id)
{
    return pool_prefix(pool) + std::string(task_part) + id.str();
}

std::string run_key(const pool_id& pool, const task_id& id)
{
    return pool_prefix(pool) + std::string(run_part) + id.str();
}

std::string task_duty_key(const pool_id& pool)
{
    return "duty/tasks/" + pool.str();
}

void build_board(node_state& node, const pool_id& pool, task_duty& duty, time_point now)
{
    follow_workers(node, pool, duty);
    const std::string tasks = pool_prefix(pool) + std::string(task_part);
    const std::string runs = pool_prefix(pool) + std::string(run_part);
    for (const config_record& record : duty.m_read) {
        const task_id id(name_behind(record.m_key, tasks));
        std::optional<task> one = id.empty() ? std::nullopt : parse_task(pool, id, record.m_value);
        if (!one) {
            continue;
        }
        one->m_revision = record.m_revision;
        restore_and_cancel(duty.m_board, std::move(*one), now);
        if (is_final(duty.m_board.m_tasks.at(id).m_state)) {
            duty.m_finished.emplace_back(now, id);
        }
    }
    for (const config_record& record : duty.m_read) {
        const task_id id(name_behind(record.m_key, runs));
        if (!id.empty()) {
            take_run(duty.m_board, id, record.m_value, now);
        }
    }
    duty.m_read.clear();
    duty.m_read.shrink_to_fit();
}

void take_pool_records(const pool_id& pool, task_duty& duty,
                       const std::vector<config_record>& records, time_point now)
{
    const std::string tasks = pool_prefix(pool) + std::string(task_part);
    const std::string runs = pool_prefix(pool) + std::string(run_part);
    for (const config_record& record : records) {
        const task_id id(name_behind(record.m_key, tasks));
        const task_id run(name_behind(record.m_key, runs));
        if (!id.empty()) {
            take_task(pool, duty, id, record, now);
        }
        else if (!run.empty()) {
            take_run(duty.m_board, run, record.m_value, now);
        }
    }
    duty.m_place = duty.m_place || !records.empty();
}

void write_tasks(node_state& node, const pool_id& pool, task_duty& duty, time_point now,
                 node_output& out)
{
    expire_writes(duty, now);
    std::vector<task_id> removed;
    remove_finished(duty, now, removed);
    for (const task_id& id : removed) {
        const auto found = duty.m_board.m_tasks.find(id);
        if (found != duty.m_board.m_tasks.end() && !duty.m_writing.contains(id)) {
            send_write(node, pool, duty, found->second, "", now, out);
        }
    }
    std::vector<task_id> later;
    for (const task_id& id : duty.m_board.m_changed_tasks) {
        const auto found = duty.m_board.m_tasks.find(id);
        if (found == duty.m_board.m_tasks.end()) {
            continue;
        }
        if (duty.m_writing.contains(id)) {
            continue; // The result of the write shows whether another must follow.
        }
        if (duty.m_writes.size() >= most_writes) {
            later.push_back(id);
            continue;
        }
        send_write(node, pool, duty, found->second, format_task(found->second), now, out);
    }
    duty.m_board.m_changed_tasks = std::move(later);
}

bool on_task_write_result(const pool_id& pool, task_duty& duty, const store_result& result,
                          time_point now)
{
    const task_write write = std::move(duty.m_writes.at(result.m_number));
    duty.m_writes.erase(result.m_number);
    duty.m_writing.erase(write.m_task);
    const auto overtaking = duty.m_overtaking.extract(write.m_task);
    const bool held = settle_write(duty, write, result, now);
    if (held && !overtaking.empty()) {
        take_pool_records(pool, duty, {overtaking.mapped()}, now);
    }
    return held;
}

void follow_workers(const node_state& node, const pool_id& pool, task_duty& duty)
{
    if (duty.m_fleet_version == node.m_fleet_version) {
        return;
    }
    duty.m_fleet_version = node.m_fleet_version;
    duty.m_place = true;
    std::set<worker_id> present;
    for (const auto& [id, host] : node.m_fleet.m_hosts) {
        const auto report = node.m_fleet.m_reports.find(id);
        const bool up = report != node.m_fleet.m_reports.end() && report->second.m_up;
        if (host.m_pool != pool || !up || report->second.m_capacity == resources{}) {
            continue;
        }
        present.insert(id);
        const bool accepting = is_in_service(node.m_fleet, host);
        add_or_update_worker(duty.m_board, id, pool, report->second.m_capacity, accepting);
        if (!accepting) {
            drain_worker(duty.m_board, id);
        }
    }
    std::vector<worker_id> lost;
    for (const auto& [id, worker] : duty.m_board.m_workers) {
        if (!present.contains(id)) {
            lost.push_back(id);
        }
    }
    for (const worker_id& id : lost) {
        on_worker_lost(duty.m_board, id);
    }
}

} // namespace guavabay
