#include "node/task_duties.h"

#include <algorithm>
#include <boost/json.hpp>

#include "fleet/task_upkeep.h"
#include "node/fleet_duties.h"
#include "node/node.h"
#include "node/task_quotas.h"
#include "node/task_records.h"

namespace guavabay {

namespace json = boost::json;

namespace {

constexpr milliseconds retry_interval{200};
constexpr seconds call_patience{10};
constexpr seconds demand_interval{5};
constexpr milliseconds place_interval{100};
constexpr milliseconds busy_interval{250};    ///< Between readings while tasks wait.
constexpr seconds idle_interval{2};           ///< Between readings while none does.
constexpr milliseconds blocked_interval{500}; ///< Between readings of quotas while tasks wait.

void follow_pools(node_state& node)
{
    if (node.m_pools_version == node.m_fleet_version) {
        return;
    }
    node.m_pools_version = node.m_fleet_version;
    node.m_pools.clear();
    for (const auto& [id, host] : node.m_fleet.m_hosts) {
        node.m_pools.insert(host.m_pool);
    }
}

void begin_call(task_duty& duty, std::uint64_t call, time_point now)
{
    duty.m_call = call;
    duty.m_call_sent = now;
    duty.m_next_try = now + retry_interval;
}

void take_duty(node_state& node, const pool_id& pool, task_duty& duty, time_point now,
               node_output& out)
{
    const std::string key = task_duty_key(pool);
    const member& self = node.m_settings.m_self;
    const json::object holder{{"holder", self.m_host.str()},
                              {"incarnation", self.m_incarnation.get()}};
    begin_call(duty,
               call_store(node,
                          make_swap(key, node.m_config.revision_of(key), json::serialize(holder)),
                          out),
               now);
}

void read_pool(node_state& node, const pool_id& pool, task_duty& duty, time_point now,
               node_output& out)
{
    duty.m_reads_quotas = false;
    begin_call(duty, call_store(node, store_read_changes{pool_prefix(pool), duty.m_seen}, out),
               now);
}

void read_quotas(node_state& node, task_duty& duty, time_point now, node_output& out)
{
    duty.m_reads_quotas = true;
    duty.m_next_quotas =
        now + (duty.m_board.m_blocked.empty() ? duration(idle_interval) : blocked_interval);
    const std::string prefix(quota_prefix);
    begin_call(duty, call_store(node, store_read_changes{prefix, duty.m_quotas_seen}, out), now);
}

bool has_waiting(const task_board& board)
{
    const auto any = [](const auto& queues) {
        return std::any_of(queues.begin(), queues.end(),
                           [](const auto& entry) { return !entry.second.empty(); });
    };
    return any(board.m_urgent_queues) || any(board.m_normal_queues) || !board.m_blocked.empty();
}

void place(task_duty& duty, time_point now)
{
    if (!duty.m_place || now < duty.m_next_place) {
        return;
    }
    duty.m_place = false;
    duty.m_next_place = now + place_interval;
    std::vector<task_order> orders; // The records carry them to the platform.
    place_tasks(duty.m_board, now, orders);
}

/// Tells the holder of the fleet's duty how much work the pool is asked for.
void report_demand(const node_state& node, const pool_id& pool, task_duty& duty, time_point now,
                   node_output& out)
{
    constexpr double thousand = 1000;
    if (now < duty.m_next_demand || node.m_settings.m_spare_pool.empty()) {
        return;
    }
    duty.m_next_demand = now + demand_interval;
    const std::optional<host_id> owner = fleet_duty_owner(node, now);
    if (owner) {
        const auto milli_hosts =
            static_cast<std::uint64_t>(estimate_required_workers(duty.m_board) * thousand);
        out.m_sends.emplace_back(*owner, pool_demand_message{pool, milli_hosts});
    }
}

void work(node_state& node, const pool_id& pool, task_duty& duty, time_point now, wall_time wall,
          node_output& out)
{
    follow_workers(node, pool, duty);
    follow_task_contracts(node, duty, now, wall);
    place(duty, now);
    share_quotas(node, pool, duty, now, out);
    write_tasks(node, pool, duty, now, out);
    report_demand(node, pool, duty, now, out);
    if (duty.m_call != 0) {
        return;
    }
    const bool shares = !duty.m_board.m_allocated.empty() || !duty.m_board.m_blocked.empty();
    if (shares && now >= duty.m_next_quotas) {
        read_quotas(node, duty, now, out);
    }
    else if (now >= duty.m_next_try) {
        read_pool(node, pool, duty, now, out);
    }
}

void advance(node_state& node, const pool_id& pool, task_duty& duty, time_point now, wall_time wall,
             node_output& out)
{
    if (duty.m_call != 0 && now - duty.m_call_sent >= call_patience) {
        duty.m_call = 0;
    }
    const bool may_call = duty.m_call == 0 && now >= duty.m_next_try;
    switch (duty.m_stage) {
    case task_duty::stage::taking:
        if (may_call) {
            take_duty(node, pool, duty, now, out);
        }
        break;
    case task_duty::stage::reading:
        if (may_call) {
            read_pool(node, pool, duty, now, out);
        }
        break;
    case task_duty::stage::ready:
        work(node, pool, duty, now, wall, out);
        break;
    }
}

/// Takes a page of the first reading; with the last page the board is complete.
void take_first_reading(node_state& node, const pool_id& pool, task_duty& duty,
                        const store_result& result, time_point now, node_output& out)
{
    duty.m_read.insert(duty.m_read.end(), result.m_records.begin(), result.m_records.end());
    duty.m_seen = result.m_position;
    duty.m_next_try = now;
    if (result.m_more) {
        return;
    }
    duty.m_board.m_shares_quotas = true;
    build_board(node, pool, duty, now);
    duty.m_stage = task_duty::stage::ready;
    out.m_log.push_back({log_level::info, "tasks: duty taken pool=" + pool.str() + " tasks=" +
                                              std::to_string(duty.m_board.m_tasks.size())});
}

void take_reading(node_state& node, const pool_id& pool, task_duty& duty,
                  const store_result& result, time_point now, node_output& out)
{
    if (duty.m_stage == task_duty::stage::reading) {
        take_first_reading(node, pool, duty, result, now, out);
        return;
    }
    if (duty.m_reads_quotas) {
        duty.m_quotas_seen = result.m_position;
        take_quota_records(pool, duty, result.m_records);
        duty.m_next_quotas = result.m_more ? now : duty.m_next_quotas;
        duty.m_next_try = now;
        return;
    }
    duty.m_seen = result.m_position;
    take_pool_records(pool, duty, result.m_records, now);
    const duration wait = has_waiting(duty.m_board) ? duration(busy_interval) : idle_interval;
    duty.m_next_try = result.m_more ? now : now + wait;
}

/// Takes the result of the call that a duty waits for. False when the duty is lost.
bool take_call_result(node_state& node, const pool_id& pool, task_duty& duty,
                      const store_result& result, time_point now, node_output& out)
{
    duty.m_call = 0;
    if (result.m_outcome == store_outcome::unknown) {
        return true;
    }
    if (duty.m_stage != task_duty::stage::taking) {
        take_reading(node, pool, duty, result, now, out);
        return true;
    }
    node.m_config.merge(result.m_record);
    if (result.m_outcome == store_outcome::done) {
        duty.m_fence = result.m_record.m_revision;
        duty.m_stage = task_duty::stage::reading;
        duty.m_next_try = now;
    }
    return true;
}

/// True when another process has taken the duty since this one did.
bool is_superseded(const node_state& node, const pool_id& pool, const task_duty& duty)
{
    return duty.m_stage != task_duty::stage::taking &&
           node.m_config.revision_of(task_duty_key(pool)) > duty.m_fence;
}

} // namespace

std::optional<host_id> task_duty_owner(const node_state& node, const pool_id& pool, time_point now)
{
    return rendezvous_owner(node.m_members.serving(now), stable_hash(task_duty_key(pool)));
}

void on_task_tick(node_state& node, time_point now, wall_time wall, node_output& out)
{
    follow_pools(node);
    const std::vector<host_id> serving = node.m_members.serving(now);
    const host_id& self = node.m_settings.m_self.m_host;
    const bool fresh = is_fresh(node, now);
    std::erase_if(node.m_task_duties, [&](const auto& entry) {
        const auto& [pool, duty] = entry;
        const auto owner = rendezvous_owner(serving, stable_hash(task_duty_key(pool)));
        return !fresh || owner != self || !node.m_pools.contains(pool) ||
               is_superseded(node, pool, duty);
    });
    if (!fresh || !node.m_store_reachable) {
        return;
    }
    for (const pool_id& pool : node.m_pools) {
        if (rendezvous_owner(serving, stable_hash(task_duty_key(pool))) == self) {
            advance(node, pool, node.m_task_duties[pool], now, wall, out);
        }
    }
}

bool on_task_result(node_state& node, const store_result& result, time_point now, node_output& out)
{
    for (auto it = node.m_task_duties.begin(); it != node.m_task_duties.end(); ++it) {
        auto& [pool, duty] = *it;
        bool held = true;
        if (duty.m_call == result.m_number) {
            held = take_call_result(node, pool, duty, result, now, out);
        }
        else if (duty.m_writes.contains(result.m_number)) {
            held = on_task_write_result(pool, duty, result, now);
        }
        else if (duty.m_quota_writes.contains(result.m_number)) {
            held = on_quota_write_result(pool, duty, result);
        }
        else {
            continue;
        }
        if (!held) {
            out.m_log.push_back({log_level::warning, "tasks: duty lost pool=" + pool.str()});
            node.m_task_duties.erase(it);
        }
        return true;
    }
    return false;
}

void on_task_hint(node_state& node, const pool_id& pool)
{
    const auto found = node.m_task_duties.find(pool);
    if (found != node.m_task_duties.end() && found->second.m_stage == task_duty::stage::ready) {
        found->second.m_next_try = {};
    }
}

const task_duty* find_ready_duty(const node_state& node, const pool_id& pool)
{
    const auto found = node.m_task_duties.find(pool);
    const bool ready =
        found != node.m_task_duties.end() && found->second.m_stage == task_duty::stage::ready;
    return ready ? &found->second : nullptr;
}

std::vector<pool_trace> list_open_tasks(const node_state& node, const customer_id& customer,
                                        revision version)
{
    std::vector<pool_trace> traces;
    for (const auto& [pool, duty] : node.m_task_duties) {
        const contract_in_force* terms =
            duty.m_contracts == nullptr ? nullptr : find_contract(*duty.m_contracts, customer);
        const bool follows = terms != nullptr && terms->m_revision >= version;
        if (duty.m_stage == task_duty::stage::ready && follows) {
            traces.push_back(
                {pool, static_cast<std::uint32_t>(count_open_tasks(duty.m_board, customer))});
        }
    }
    return traces;
}

} // namespace guavabay
