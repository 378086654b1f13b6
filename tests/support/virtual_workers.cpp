#include "support/virtual_workers.h"

#include "fleet/task_accounting.h"
#include "node/task_duty.h"

namespace guavabay::test {

namespace {

constexpr milliseconds work_interval{100};
const std::string pools_prefix = "~pool/";

} // namespace

virtual_workers::virtual_workers(virtual_hosts& hosts, virtual_platform& platform)
    : m_hosts(hosts), m_platform(platform)
{
    platform.m_is_busy = [this](const std::string& name) {
        for (const auto& [id, one] : m_runs) {
            if (one.m_active && one.m_worker.str() == name) {
                return true;
            }
        }
        return false;
    };
}

void virtual_workers::run_for(duration length)
{
    const time_point until = m_hosts.now() + length;
    while (m_hosts.now() < until) {
        m_platform.run_for(work_interval);
        if (!m_hosts.m_store.m_away) {
            process_records();
        }
        check_limits();
    }
}

bool virtual_workers::run_until_ended(duration limit)
{
    const time_point until = m_hosts.now() + limit;
    while (m_hosts.now() < until) {
        run_for(work_interval);
        bool open = false;
        for (const auto& [state, count] : states()) {
            open = open || (state != "done" && state != "cancelled" && state != "refused");
        }
        if (!open) {
            return true;
        }
    }
    return false;
}

std::map<std::string, int> virtual_workers::states() const
{
    std::map<std::string, int> counts;
    for (const config_record& record : m_hosts.m_store.list(pools_prefix)) {
        if (record.m_key.find("/task/") != std::string::npos) {
            ++counts[to_string(parse_task({}, {}, record.m_value)->m_state)];
        }
    }
    return counts;
}

time_point virtual_workers::started_at(const std::string& task) const
{
    const auto found = m_first_starts.find(task_id(task));
    return found == m_first_starts.end() ? time_point{} : found->second;
}

void virtual_workers::process_records()
{
    for (const config_record& record : m_hosts.m_store.list(pools_prefix)) {
        const std::size_t separator = record.m_key.find("/task/");
        if (separator == std::string::npos) {
            continue;
        }
        const pool_id pool(
            record.m_key.substr(pools_prefix.size(), separator - pools_prefix.size()));
        const task_id id(record.m_key.substr(separator + std::string("/task/").size()));
        apply_record(pool, id, *parse_task(pool, id, record.m_value));
    }
}

void virtual_workers::finish(const task_id& id, run& one, run_state state)
{
    one.m_active = false;
    const auto used = [this](std::int64_t amount) {
        return static_cast<std::int64_t>(static_cast<double>(amount) * m_used_share);
    };
    const resources amounts{used(one.m_declared.m_cpu_millis), used(one.m_declared.m_memory_mb), 0};
    m_hosts.m_store.put(run_key(one.m_pool, id),
                        format_run_report({one.m_attempt, state, amounts}));
}

void virtual_workers::apply_record(const pool_id& pool, const task_id& id, const task& one)
{
    run& known = m_runs[id];
    const time_point now = m_hosts.now();
    const bool wanted = one.m_state == task_state::starting && !one.m_cancel_requested;
    if (wanted && one.m_attempt > known.m_attempt) {
        m_duplicate_runs += known.m_active ? 1 : 0;
        m_starts_after_cancel += m_cancelled.contains(id) ? 1 : 0;
        known = {pool, one.m_customer,         one.m_worker, one.m_attempt, now,
                 {},   known.m_saved_run_time, true,         false,         one.m_declared};
        m_first_starts.try_emplace(id, now);
    }
    if (!known.m_active) {
        return;
    }
    const bool cancelled = one.m_cancel_requested || one.m_state == task_state::cancelled;
    if (cancelled) {
        finish(id, known, run_state::stopped);
        return;
    }
    const duration passed = now - known.m_started_at;
    if (!known.m_reported && passed >= m_start_delay) {
        known.m_reported = true;
        m_hosts.m_store.put(
            run_key(pool, id),
            format_run_report({known.m_attempt, run_state::running, known.m_declared}));
    }
    m_throttled += one.m_throttled ? 1 : 0;
    if (one.m_state == task_state::checkpointing) {
        known.m_saving_since = known.m_saving_since == time_point{} ? now : known.m_saving_since;
        if (now - known.m_saving_since >= m_save_delay) {
            known.m_saved_run_time += passed;
            ++m_saved;
            finish(id, known, run_state::saved);
        }
        return;
    }
    if (m_bad_workers.contains(known.m_worker.str()) && passed >= m_start_delay) {
        finish(id, known, run_state::failed);
        return;
    }
    if (passed + known.m_saved_run_time >= m_run_time) {
        ++m_runs_done[id];
        finish(id, known, run_state::done);
    }
}

void virtual_workers::check_limits()
{
    std::map<customer_id, std::uint32_t> running;
    for (const auto& [id, one] : m_runs) {
        running[one.m_customer] += one.m_active ? 1U : 0U;
    }
    for (const auto& [customer, limit] : m_limits) {
        m_over_quota += running[customer] > limit ? 1 : 0;
    }
}

std::uint64_t call_task(virtual_hosts& hosts, const std::string& host, operator_verb verb,
                        const std::string& pool, const std::string& task, const std::string& body)
{
    operator_request request;
    request.m_verb = verb;
    request.m_pool = pool_id(pool);
    request.m_task = task_id(task);
    request.m_body = body;
    return hosts.operate(host, std::move(request));
}

} // namespace guavabay::test
