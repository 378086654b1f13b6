#include "fleet/wave_plan.h"

#include <algorithm>
#include <boost/json.hpp>

#include "contract/contract_parser.h"
#include "core/json_fields.h"
#include "core/result.h"
#include "fleet/budget.h"
#include "fleet/fleet_index.h"

namespace guavabay {

namespace json = boost::json;

namespace {

/// Hosts of a pool that may be out before the first has returned.
constexpr std::uint32_t canary_hosts = 1;

/// Hosts of a pool that may be out for each that has returned.
constexpr std::uint32_t ramp_factor = 8;

constexpr std::size_t max_wave_failures_listed = 10;

const host_report* find_report(const fleet_view& fleet, const worker_id& id)
{
    const auto found = fleet.m_reports.find(id);
    return found == fleet.m_reports.end() ? nullptr : &found->second;
}

host_change change_state(const fleet_host& host, host_state state, wall_time now,
                         std::string reason)
{
    host_change change{host, std::move(reason)};
    change.m_updated_host.m_state = state;
    change.m_updated_host.m_changed_at = now;
    return change;
}

/// Returns the change for a drained host: it joins its target pool, or may be rebooted. Returns
/// nothing while it still has work.
std::optional<host_change> plan_after_drain(const fleet_host& host, const host_report* report,
                                            wall_time now)
{
    if (report == nullptr || (report->m_up && !report->m_empty)) {
        return std::nullopt;
    }
    if (!host.m_target) {
        return change_state(host, host_state::away, now, "empty, may be rebooted");
    }
    host_change change =
        change_state(host, host_state::serving, now, "joins pool " + host.m_target->str());
    change.m_updated_host.m_pool = *host.m_target;
    change.m_updated_host.m_target.reset();
    return change;
}

/// Returns the change for a host that is away: it serves again once the platform reports it up and
/// maintained, and fails when it has been away for too long.
std::optional<host_change> plan_after_absence(const fleet_host& host, const host_report* report,
                                              const wave_record& wave, wall_time now)
{
    const bool returned =
        report != nullptr && report->m_up && report->m_maintained_wave >= wave.m_number;
    if (returned) {
        host_change change = change_state(host, host_state::serving, now, "maintained");
        change.m_updated_host.m_maintained_wave = report->m_maintained_wave;
        return change;
    }
    if (now - host.m_changed_at > wave.m_longest_absence) {
        return change_state(host, host_state::failed, now, "did not come back");
    }
    return std::nullopt;
}

/// Returns the change for a failed host: it serves again once the platform has repaired it.
std::optional<host_change> plan_after_failure(const fleet_host& host, const host_report* report,
                                              const wave_record* wave, wall_time now)
{
    const bool returned = report != nullptr && report->m_up &&
                          (wave == nullptr || report->m_maintained_wave >= wave->m_number);
    if (!returned) {
        return std::nullopt;
    }
    host_change change = change_state(host, host_state::serving, now, "repaired");
    change.m_updated_host.m_maintained_wave =
        std::max(host.m_maintained_wave, report->m_maintained_wave);
    return change;
}

/// Returns whether the ramp of the wave lets another host of a pool out: a canary first, then
/// several for each host that has returned. Budgets are checked separately.
bool ramp_allows(const pool_statistics& pool)
{
    return pool.m_out < std::max(canary_hosts, pool.m_done * ramp_factor);
}

/// Returns the host to drain next, or null. It is taken from the rack with the most hosts in
/// service of its pool, so that the next failure takes fewer of them.
const fleet_host* select_host_to_drain(const fleet_view& fleet, const fleet_index& index)
{
    const fleet_host* best = nullptr;
    std::uint32_t best_size = 0;
    for (const fleet_host* host : index.m_due) {
        const pool_statistics& pool = index.m_pools.at(host->m_pool);
        if (!ramp_allows(pool)) {
            continue;
        }
        const std::uint32_t size = pool.m_racks.size_of(domain_of(*host, survivable_failure::rack));
        const bool better = best == nullptr || size > best_size;
        if (better && can_leave_pool(fleet, index, *host)) {
            best = host;
            best_size = size;
        }
    }
    return best;
}

/// Plans the move of a host from the spare pool to a pool that lacks hosts because some failed.
std::optional<host_change> replace_failed(const fleet_view& fleet, const fleet_index& index,
                                          const pool_id& spare, wall_time now)
{
    for (const auto& [pool, budget] : fleet.m_budgets) {
        const auto found = index.m_pools.find(pool);
        if (found == index.m_pools.end() || found->second.m_failed == 0 || pool == spare) {
            continue;
        }
        const pool_statistics& counts = found->second;
        const std::uint32_t required = budget.m_min + counts.m_domains.largest();
        if (counts.m_in_service + counts.m_joining >= required) {
            continue;
        }
        for (const auto& [id, host] : fleet.m_hosts) {
            const bool is_available =
                host.m_pool == spare && is_in_service(fleet, host) && !host.m_target;
            if (!is_available || !can_leave_pool(fleet, index, host)) {
                continue;
            }
            host_change change = change_state(host, host_state::draining, now,
                                              "replaces a failed host of pool " + pool.str());
            change.m_updated_host.m_target = pool;
            return change;
        }
    }
    return std::nullopt;
}

} // namespace

std::optional<wave_record> parse_wave(const std::string& value)
{
    const std::optional<json::object> object = parse_json_object(value);
    if (!object) {
        return std::nullopt;
    }
    wave_record wave;
    wave.m_number = wave_number(number_field(*object, "number"));
    if (wave.m_number <= wave_number(0)) {
        return fail("the wave has no number");
    }
    wave.m_paused = flag_field(*object, "paused");
    wave.m_stop_reason = text_field(*object, "stopped");
    wave.m_spare_pool = pool_id(text_field(*object, "spare"));
    wave.m_started_at = parse_wall_time(text_field(*object, "started_at")).value_or(wall_time{});
    const std::int64_t absence = number_field(*object, "longest_absence_ms");
    if (absence > 0) {
        wave.m_longest_absence = milliseconds(absence);
    }
    const std::int64_t failures = number_field(*object, "failure_limit");
    if (failures > 0) {
        wave.m_failure_limit = static_cast<std::uint32_t>(failures);
    }
    return wave;
}

std::string format_wave(const wave_record& wave)
{
    return json::serialize(
        json::object{{"number", wave.m_number.get()},
                     {"paused", wave.m_paused},
                     {"stopped", wave.m_stop_reason},
                     {"spare", wave.m_spare_pool.str()},
                     {"started_at", format_wall_time(wave.m_started_at)},
                     {"longest_absence_ms", wave.m_longest_absence.count()},
                     {"failure_limit", static_cast<std::int64_t>(wave.m_failure_limit)}});
}

wave_progress measure_wave(const fleet_view& fleet, const wave_record& wave)
{
    wave_progress progress;
    for (const auto& [id, host] : fleet.m_hosts) {
        ++progress.m_total;
        const bool done = host.m_maintained_wave >= wave.m_number;
        const bool in_wave = host.m_changed_at >= wave.m_started_at && !done;
        progress.m_done += done ? 1U : 0U;
        const bool out = host.m_state == host_state::away ||
                         (host.m_state == host_state::draining && !host.m_target);
        progress.m_out += out && !done ? 1U : 0U;
        progress.m_failed += in_wave && host.m_state == host_state::failed ? 1U : 0U;
    }
    return progress;
}

std::string stop_reason(const fleet_view& fleet, const wave_record& wave)
{
    const wave_progress progress = measure_wave(fleet, wave);
    if (progress.m_failed < wave.m_failure_limit) {
        return {};
    }
    std::string text = std::to_string(progress.m_failed) + " hosts did not come back:";
    std::size_t listed = 0;
    for (const auto& [id, host] : fleet.m_hosts) {
        if (host.m_state == host_state::failed && listed < max_wave_failures_listed) {
            text += " " + id.str();
            ++listed;
        }
    }
    return text;
}

std::optional<host_change> plan_change(const fleet_view& fleet, const wave_record* wave,
                                       wall_time now)
{
    const fleet_index index = index_fleet(fleet, wave == nullptr ? wave_number(0) : wave->m_number);
    for (const fleet_host* host : index.m_in_transition) {
        const host_report* report = find_report(fleet, host->m_id);
        std::optional<host_change> change;
        if (host->m_state == host_state::draining) {
            change = plan_after_drain(*host, report, now);
        }
        else if (host->m_state == host_state::away && wave != nullptr) {
            change = plan_after_absence(*host, report, *wave, now);
        }
        else if (host->m_state == host_state::failed) {
            change = plan_after_failure(*host, report, wave, now);
        }
        if (change) {
            return change;
        }
    }
    if (wave == nullptr) {
        return std::nullopt;
    }
    std::optional<host_change> replacement = replace_failed(fleet, index, wave->m_spare_pool, now);
    if (replacement) {
        return replacement;
    }
    if (wave->m_paused || !wave->m_stop_reason.empty()) {
        return std::nullopt;
    }
    const fleet_host* next = select_host_to_drain(fleet, index);
    if (next == nullptr) {
        return std::nullopt;
    }
    return change_state(*next, host_state::draining, now, "drained for maintenance");
}

std::optional<host_change> plan_move(const fleet_view& fleet, const worker_id& host,
                                     const pool_id& target, wall_time now)
{
    const auto found = fleet.m_hosts.find(host);
    if (found == fleet.m_hosts.end()) {
        return fail("there is no host " + host.str());
    }
    const fleet_host& moved_host = found->second;
    if (moved_host.m_pool == target) {
        return fail("host " + host.str() + " is in pool " + target.str() + " already");
    }
    if (moved_host.m_state != host_state::serving) {
        return fail("host " + host.str() + " is " + to_string(moved_host.m_state));
    }
    const auto budget = fleet.m_budgets.find(target);
    const pool_count target_count = count_pool(fleet, target);
    if (budget != fleet.m_budgets.end() && target_count.m_in_service >= budget->second.m_max) {
        return fail("pool " + target.str() + " holds the " + std::to_string(budget->second.m_max) +
                    " hosts that its contracts allow");
    }
    if (is_in_service(fleet, moved_host) &&
        !is_budget_met_without(fleet, moved_host.m_pool, {host})) {
        const pool_budget& source_budget = fleet.m_budgets.at(moved_host.m_pool);
        return fail("pool " + moved_host.m_pool.str() + " owes " +
                    std::to_string(source_budget.m_min) +
                    " hosts and the loss of its largest failure domain would break that");
    }
    host_change change =
        change_state(moved_host, host_state::draining, now, "moves to " + target.str());
    change.m_updated_host.m_target = target;
    return change;
}

} // namespace guavabay
