#include "node/fleet_duties.h"

#include <algorithm>
#include <boost/json.hpp>

#include "core/result.h"
#include "node/contract_changes.h"
#include "node/fleet_records.h"
#include "node/node.h"
#include "node/operator_answers.h"

namespace guavabay {

namespace json = boost::json;

namespace {

constexpr milliseconds retry_interval{200};
constexpr seconds plan_interval{5}; ///< Longest time without a plan while nothing changes.
constexpr seconds rebalance_interval{10};
constexpr std::uint64_t fleet_duty_hash = 0x666c656574ULL;

const wave_record* current_wave(const node_state& node)
{
    return node.m_wave ? &*node.m_wave : nullptr;
}

void take_duty(node_state& node, time_point now, node_output& out)
{
    fleet_duty& duty = node.m_fleet_duty;
    duty.m_stage = fleet_duty::stage::taking;
    duty.m_next_try = now + retry_interval;
    const std::string key(fleet_duty_key);
    const member& self = node.m_settings.m_self;
    const json::object holder{{"holder", self.m_host.str()},
                              {"incarnation", self.m_incarnation.get()}};
    store_swap swap;
    swap.m_key = key;
    swap.m_expected = node.m_config.revision_of(key);
    swap.m_value = json::serialize(holder);
    duty.m_call = call_store(node, std::move(swap), out);
}

/// Writes the open change, guarded by the duty's record.
void send_write(node_state& node, time_point now, node_output& out)
{
    fleet_duty& duty = node.m_fleet_duty;
    duty.m_next_try = now + retry_interval;
    store_swap swap;
    swap.m_key = duty.m_write->m_record.m_key;
    swap.m_expected = duty.m_write->m_record.m_revision;
    swap.m_value = duty.m_write->m_record.m_value;
    swap.m_guard_key = std::string(fleet_duty_key);
    swap.m_guard_revision = duty.m_fence;
    duty.m_call = call_store(node, std::move(swap), out);
}

/// True while a wave goes on; pools keep their size meanwhile.
bool wave_goes_on(const node_state& node)
{
    if (!node.m_wave || node.m_wave->m_paused || !node.m_wave->m_stop_reason.empty()) {
        return false;
    }
    const wave_progress progress = measure_wave(node.m_fleet, *node.m_wave);
    return progress.m_done + progress.m_failed < progress.m_total;
}

/// The next move of a host between a pool and the spare pool; empty when none is due.
std::optional<fleet_write> plan_size_change(node_state& node, time_point now, wall_time wall)
{
    if (node.m_settings.m_spare_pool.empty() || now < node.m_next_rebalance) {
        return std::nullopt;
    }
    node.m_next_rebalance = now + rebalance_interval;
    if (wave_goes_on(node)) {
        return std::nullopt;
    }
    const std::optional<host_change> change =
        plan_rebalance(node.m_fleet, node.m_forecasts, node.m_settings.m_spare_pool,
                       node.m_settings.m_weights, now, wall);
    return change ? std::optional(make_write(*change)) : std::nullopt;
}

/// The next thing to write; empty when there is nothing to do now.
std::optional<fleet_write> plan_write(node_state& node, time_point now, wall_time wall)
{
    const wave_record* wave = current_wave(node);
    if (wave != nullptr && wave->m_stop_reason.empty()) {
        const std::string reason = stop_reason(node.m_fleet, *wave);
        if (!reason.empty()) {
            wave_record stopped = *wave;
            stopped.m_stop_reason = reason;
            const std::string key(wave_key);
            return fleet_write{{key, node.m_config.revision_of(key), format_wave(stopped)},
                               "wave stopped: " + reason,
                               0};
        }
    }
    const std::optional<host_change> change = plan_change(node.m_fleet, wave, wall);
    return change ? make_write(*change) : plan_size_change(node, now, wall);
}

/// Lets go of the duty; a write under way is fenced off by the next holder.
void drop_duty(fleet_duty& duty)
{
    duty = {};
}

} // namespace

fleet_write make_write(const host_change& change)
{
    fleet_write write;
    write.m_record = {std::string(host_prefix) + change.m_updated_host.m_id.str(),
                      change.m_updated_host.m_revision, format_fleet_host(change.m_updated_host)};
    write.m_reason = "host " + change.m_updated_host.m_id.str() + ": " + change.m_reason;
    return write;
}

bool holds_fleet_duty(const node_state& node)
{
    return node.m_fleet_duty.m_stage == fleet_duty::stage::ready;
}

std::optional<host_id> fleet_duty_owner(const node_state& node, time_point now)
{
    return rendezvous_owner(node.m_members.serving(now), fleet_duty_hash);
}

void on_pool_demand(node_state& node, const pool_demand_message& demand, time_point now)
{
    constexpr double thousand = 1000;
    if (holds_fleet_duty(node) && node.m_pools.contains(demand.m_pool)) {
        observe_demand(node.m_forecasts, demand.m_pool,
                       static_cast<double>(demand.m_milli_hosts) / thousand, now);
    }
}

void on_fleet_tick(node_state& node, time_point now, wall_time wall, node_output& out)
{
    fleet_duty& duty = node.m_fleet_duty;
    const bool ours =
        fleet_duty_owner(node, now) == node.m_settings.m_self.m_host && is_fresh(node, now);
    const bool fleet_exists = !node.m_fleet.m_hosts.empty() || node.m_wave;
    if (!ours || !fleet_exists) {
        drop_duty(duty);
        node.m_forecasts.clear();
        return;
    }
    if (!node.m_store_reachable || duty.m_call != 0) {
        return;
    }
    const revision written = node.m_config.revision_of(std::string(fleet_duty_key));
    if (duty.m_stage != fleet_duty::stage::idle && written > duty.m_fence) {
        drop_duty(duty);
    }
    switch (duty.m_stage) {
    case fleet_duty::stage::idle:
    case fleet_duty::stage::taking:
        if (now >= duty.m_next_try) {
            take_duty(node, now, out);
        }
        break;
    case fleet_duty::stage::refreshing:
        if (node.m_full_reading >= duty.m_fence) {
            duty.m_stage = fleet_duty::stage::ready;
            out.m_log.push_back({log_level::info, "fleet: duty taken"});
        }
        break;
    case fleet_duty::stage::ready:
        if (!duty.m_write && (duty.m_changed || now >= duty.m_next_try)) {
            duty.m_changed = false;
            duty.m_next_try = now + plan_interval;
            duty.m_write = plan_write(node, now, wall);
            if (duty.m_write) {
                duty.m_next_try = now;
            }
        }
        if (duty.m_write && now >= duty.m_next_try) {
            send_write(node, now, out);
        }
        break;
    }
}

bool on_fleet_result(node_state& node, const store_result& result, time_point now, node_output& out)
{
    fleet_duty& duty = node.m_fleet_duty;
    if (duty.m_call == 0 || duty.m_call != result.m_number) {
        return false;
    }
    duty.m_call = 0;
    if (result.m_outcome == store_outcome::unknown) {
        return true;
    }
    const bool done = result.m_outcome == store_outcome::done;
    if (duty.m_stage == fleet_duty::stage::taking) {
        node.m_config.merge(result.m_record);
        if (done) {
            duty.m_fence = result.m_record.m_revision;
            duty.m_stage = fleet_duty::stage::refreshing;
            call_store(node, store_resync{}, out);
        }
        return true;
    }
    if (!duty.m_write) {
        return true;
    }
    const fleet_write write = std::move(*duty.m_write);
    duty.m_write.reset();
    duty.m_next_try = now;
    const bool settled = done || result.m_record.m_value == write.m_record.m_value;
    if (!take_fleet_record(node, result.m_record, out) &&
        node.m_config.merge(result.m_record) == merge_outcome::applied) {
        follow_wave_record(node, result.m_record);
    }
    if (settled) {
        out.m_log.push_back({log_level::info, "fleet: " + write.m_reason});
    }
    if (write.m_operator_call != 0 && settled && write.m_record.m_key == wave_key) {
        begin_wave_confirmation(node, write.m_operator_call, result.m_record, write.m_reason, now,
                                out);
    }
    else if (write.m_operator_call != 0 && settled) {
        out.m_operators.push_back({write.m_operator_call, std::nullopt,
                                   json::serialize(json::object{{"accepted", write.m_reason}})});
    }
    else if (write.m_operator_call != 0) {
        answer_error(write.m_operator_call, error_kind::version_conflict,
                     "the record was changed by another", out);
    }
    if (!settled) {
        drop_duty(duty);
    }
    return true;
}

} // namespace guavabay
