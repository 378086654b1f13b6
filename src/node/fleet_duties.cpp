#include "node/fleet_duties.h"

#include <algorithm>
#include <boost/json.hpp>
#include <set>

#include "core/json_fields.h"
#include "core/result.h"
#include "fleet/budget.h"
#include "node/node.h"

namespace guavabay {

namespace json = boost::json;

namespace {

constexpr milliseconds retry_interval{200};
constexpr seconds plan_interval{5}; ///< Longest time without a plan while nothing changes.
constexpr std::uint64_t fleet_duty_hash = 0x666c656574ULL;

std::string host_key(const worker_id& id)
{
    return std::string(host_prefix) + id.str();
}

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

fleet_write make_write(const host_change& change)
{
    fleet_write write;
    write.m_record = {host_key(change.m_next.m_id), change.m_next.m_revision,
                      format_fleet_host(change.m_next)};
    write.m_reason = "host " + change.m_next.m_id.str() + ": " + change.m_reason;
    return write;
}

/// The next thing to write; empty when there is nothing to do now.
std::optional<fleet_write> plan_write(const node_state& node, wall_time wall)
{
    const wave_record* wave = current_wave(node);
    if (wave != nullptr && wave->m_stopped.empty()) {
        const std::string reason = stop_reason(node.m_fleet, *wave);
        if (!reason.empty()) {
            wave_record stopped = *wave;
            stopped.m_stopped = reason;
            const std::string key(wave_key);
            return fleet_write{{key, node.m_config.revision_of(key), format_wave(stopped)},
                               "wave stopped: " + reason,
                               0};
        }
    }
    const std::optional<host_change> change = plan_change(node.m_fleet, wave, wall);
    if (!change) {
        return std::nullopt;
    }
    return make_write(*change);
}

void report_unreadable(const config_record& record, node_output& out)
{
    out.m_log.push_back({log_level::error, "fleet: unreadable record kept out key=" + record.m_key +
                                               " reason=" + last_reason()});
}

void take_host_record(node_state& node, const config_record& record, node_output& out)
{
    const worker_id id(record.m_key.substr(host_prefix.size()));
    const auto known = node.m_fleet.m_hosts.find(id);
    const bool older =
        known != node.m_fleet.m_hosts.end() && known->second.m_revision >= record.m_revision;
    if (older) {
        return;
    }
    node.m_fleet_duty.m_changed = true;
    if (record.m_value.empty()) {
        node.m_fleet.m_hosts.erase(id);
        return;
    }
    std::optional<fleet_host> host = parse_fleet_host(id.str(), record.m_value);
    if (!host) {
        report_unreadable(record, out);
        return;
    }
    host->m_revision = record.m_revision;
    node.m_fleet.m_hosts[id] = std::move(*host);
}

void take_report_record(node_state& node, const config_record& record, node_output& out)
{
    const worker_id id(record.m_key.substr(report_prefix.size()));
    const auto known = node.m_fleet.m_reports.find(id);
    const bool older =
        known != node.m_fleet.m_reports.end() && known->second.m_revision >= record.m_revision;
    if (older) {
        return;
    }
    node.m_fleet_duty.m_changed = true;
    if (record.m_value.empty()) {
        node.m_fleet.m_reports.erase(id);
        return;
    }
    std::optional<host_report> report = parse_host_report(record.m_value);
    if (!report) {
        report_unreadable(record, out);
        return;
    }
    report->m_revision = record.m_revision;
    node.m_fleet.m_reports[id] = *report;
}

/// Lets go of the duty; a write under way is fenced off by the next holder.
void drop_duty(fleet_duty& duty)
{
    duty = {};
}

void answer(const operator_request& request, const json::object& body, node_output& out)
{
    out.m_operators.push_back({request.m_number, std::nullopt, json::serialize(body)});
}

void answer_error(std::uint64_t number, error_kind kind, std::string reason, node_output& out)
{
    out.m_operators.push_back({number, kind, std::move(reason)});
}

json::object describe_pool(const fleet_view& fleet, const pool_id& pool)
{
    const pool_count count = count_pool(fleet, pool);
    json::object object{{"pool", pool.str()},
                        {"in_service", static_cast<std::int64_t>(count.m_in_service)},
                        {"largest_domain", static_cast<std::int64_t>(count.m_largest_domain)},
                        {"spare", static_cast<std::int64_t>(spare_hosts(fleet, pool))}};
    const auto budget = fleet.m_budgets.find(pool);
    if (budget != fleet.m_budgets.end()) {
        object["owed"] = static_cast<std::int64_t>(budget->second.m_min);
        object["allowed"] = static_cast<std::int64_t>(budget->second.m_max);
    }
    return object;
}

json::array describe_pools(const fleet_view& fleet)
{
    std::set<pool_id> pools;
    for (const auto& [id, host] : fleet.m_hosts) {
        pools.insert(host.m_pool);
    }
    for (const auto& [pool, budget] : fleet.m_budgets) {
        pools.insert(pool);
    }
    json::array list;
    for (const pool_id& pool : pools) {
        list.push_back(describe_pool(fleet, pool));
    }
    return list;
}

void answer_fleet(const node_state& node, const operator_request& request, node_output& out)
{
    json::array hosts;
    for (const auto& [id, host] : node.m_fleet.m_hosts) {
        json::object object{{"host", id.str()},
                            {"pool", host.m_pool.str()},
                            {"state", to_string(host.m_state)},
                            {"zone", host.m_zone.str()},
                            {"rack", host.m_rack.str()},
                            {"maintained", host.m_maintained.get()}};
        if (host.m_target) {
            object["target"] = host.m_target->str();
        }
        hosts.push_back(std::move(object));
    }
    json::array broken;
    for (const std::string& line : broken_budgets(node.m_fleet)) {
        broken.emplace_back(line);
    }
    answer(request,
           {{"pools", describe_pools(node.m_fleet)},
            {"broken", std::move(broken)},
            {"hosts", std::move(hosts)}},
           out);
}

void answer_wave(const node_state& node, const operator_request& request, node_output& out)
{
    if (!node.m_wave) {
        answer_error(request.m_number, error_kind::not_found, "no wave was started", out);
        return;
    }
    const wave_progress progress = measure_wave(node.m_fleet, *node.m_wave);
    answer(request,
           {{"number", node.m_wave->m_number.get()},
            {"paused", node.m_wave->m_paused},
            {"stopped", node.m_wave->m_stopped},
            {"hosts", static_cast<std::int64_t>(progress.m_total)},
            {"done", static_cast<std::int64_t>(progress.m_done)},
            {"out", static_cast<std::int64_t>(progress.m_out)},
            {"failed", static_cast<std::int64_t>(progress.m_failed)}},
           out);
}

/// The wave's record after an operator's call; empty with a reason when the call makes no sense.
std::optional<wave_record> next_wave(const node_state& node, const operator_request& request,
                                     wall_time wall)
{
    if (request.m_verb == operator_verb::wave_start) {
        std::optional<wave_record> wave = parse_wave(request.m_body);
        if (!wave) {
            return std::nullopt;
        }
        if (node.m_wave && wave->m_number <= node.m_wave->m_number) {
            return fail("the wave's number must be above " +
                        std::to_string(node.m_wave->m_number.get()));
        }
        wave->m_started_at = wall;
        return wave;
    }
    if (!node.m_wave) {
        return fail("no wave was started");
    }
    wave_record wave = *node.m_wave;
    wave.m_paused = request.m_verb == operator_verb::wave_pause;
    if (!wave.m_paused && !wave.m_stopped.empty()) {
        wave.m_stopped.clear();
        wave.m_started_at = wall;
    }
    return wave;
}

/// Asks the duty to write a record on an operator's behalf.
void queue_write(node_state& node, const operator_request& request, fleet_write write,
                 node_output& out)
{
    fleet_duty& duty = node.m_fleet_duty;
    if (!holds_fleet_duty(node)) {
        const config_record* record = node.m_config.find(std::string(fleet_duty_key));
        const auto holder = record == nullptr ? std::nullopt : parse_json_object(record->m_value);
        answer_error(request.m_number, error_kind::owner_unreachable,
                     "the fleet's duty is with " +
                         (holder ? text_field(*holder, "holder") : std::string("nobody")),
                     out);
        return;
    }
    if (duty.m_write) {
        answer_error(request.m_number, error_kind::overloaded, "another change is under way", out);
        return;
    }
    write.m_operator_call = request.m_number;
    duty.m_write = std::move(write);
    duty.m_next_try = {};
}

void begin_move(node_state& node, const operator_request& request, wall_time wall, node_output& out)
{
    const std::optional<host_change> change =
        plan_move(node.m_fleet, worker_id(request.m_host), pool_id(request.m_body), wall);
    if (!change) {
        answer_error(request.m_number, error_kind::budget_broken, last_reason(), out);
        return;
    }
    if (!request.m_dry_run) {
        queue_write(node, request, make_write(*change), out);
        return;
    }
    fleet_view after = node.m_fleet;
    fleet_host& host = after.m_hosts.at(change->m_next.m_id);
    host.m_pool = *change->m_next.m_target;
    answer(request,
           {{"plan", change->m_reason},
            {"pools_before", describe_pools(node.m_fleet)},
            {"pools_after", describe_pools(after)}},
           out);
}

} // namespace

bool holds_fleet_duty(const node_state& node)
{
    return node.m_fleet_duty.m_stage == fleet_duty::stage::ready;
}

bool take_fleet_record(node_state& node, const config_record& record, node_output& out)
{
    if (record.m_key.starts_with(host_prefix)) {
        take_host_record(node, record, out);
        return true;
    }
    if (record.m_key.starts_with(report_prefix)) {
        take_report_record(node, record, out);
        return true;
    }
    return false;
}

void forget_unlisted_hosts(node_state& node, const std::vector<std::string>& shown_keys)
{
    std::set<worker_id> shown;
    for (const std::string& key : shown_keys) {
        if (key.starts_with(host_prefix)) {
            shown.insert(worker_id(key.substr(host_prefix.size())));
        }
    }
    const std::size_t erased = std::erase_if(
        node.m_fleet.m_hosts, [&shown](const auto& entry) { return !shown.contains(entry.first); });
    node.m_fleet_duty.m_changed = node.m_fleet_duty.m_changed || erased > 0;
}

void follow_wave_record(node_state& node, const config_record& record)
{
    if (record.m_key == wave_key) {
        node.m_wave = parse_wave(record.m_value);
        node.m_fleet_duty.m_changed = true;
    }
}

void follow_contracts(node_state& node)
{
    std::vector<const contract*> active;
    for (const auto& [customer, terms] : node.m_view->m_contracts) {
        if (!terms.m_record.m_ended) {
            active.push_back(&terms.m_record.m_terms);
        }
    }
    node.m_fleet.m_budgets = derive_budgets(active);
    node.m_fleet_duty.m_changed = true;
}

void on_fleet_tick(node_state& node, time_point now, wall_time wall, node_output& out)
{
    fleet_duty& duty = node.m_fleet_duty;
    const auto candidate = rendezvous_owner(node.m_members.serving(now), fleet_duty_hash);
    const bool ours = candidate == node.m_settings.m_self.m_host && is_fresh(node, now);
    const bool fleet_exists = !node.m_fleet.m_hosts.empty() || node.m_wave;
    if (!ours || !fleet_exists) {
        drop_duty(duty);
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
            duty.m_write = plan_write(node, wall);
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
    if (write.m_operator_call != 0 && settled) {
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

void on_fleet_request(node_state& node, const operator_request& request, wall_time wall,
                      node_output& out)
{
    if (request.m_verb == operator_verb::fleet_status) {
        answer_fleet(node, request, out);
        return;
    }
    if (request.m_verb == operator_verb::wave_status) {
        answer_wave(node, request, out);
        return;
    }
    if (request.m_verb == operator_verb::host_move) {
        begin_move(node, request, wall, out);
        return;
    }
    const std::optional<wave_record> wave = next_wave(node, request, wall);
    if (!wave) {
        answer_error(request.m_number, error_kind::bad_request, last_reason(), out);
        return;
    }
    const std::string key(wave_key);
    queue_write(
        node, request,
        {{key, node.m_config.revision_of(key), format_wave(*wave)},
         "wave " + std::to_string(wave->m_number.get()) + (wave->m_paused ? " paused" : " goes on"),
         0},
        out);
}

} // namespace guavabay
