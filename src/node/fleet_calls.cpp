#include <boost/json.hpp>
#include <set>

#include "core/json_fields.h"
#include "core/result.h"
#include "fleet/budget.h"
#include "node/fleet_duties.h"
#include "node/operator_answers.h"

namespace guavabay {

namespace json = boost::json;

namespace {

json::object describe_pool(const fleet_view& fleet, const pool_id& pool)
{
    const pool_count count = count_pool(fleet, pool);
    json::object object{{"pool", pool.str()},
                        {"in_service", static_cast<std::int64_t>(count.m_in_service)},
                        {"largest_domain", static_cast<std::int64_t>(count.m_largest_domain)},
                        {"spare", static_cast<std::int64_t>(removable_hosts(fleet, pool))}};
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
                            {"maintained", host.m_maintained_wave.get()}};
        if (host.m_target) {
            object["target"] = host.m_target->str();
        }
        hosts.push_back(std::move(object));
    }
    json::array broken;
    for (const std::string& line : list_violated_budgets(node.m_fleet)) {
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
            {"version", node.m_config.revision_of(std::string(wave_key)).get()},
            {"paused", node.m_wave->m_paused},
            {"stopped", node.m_wave->m_stop_reason},
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
    if (!wave.m_paused && !wave.m_stop_reason.empty()) {
        wave.m_stop_reason.clear();
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
    fleet_host& host = after.m_hosts.at(change->m_updated_host.m_id);
    host.m_pool = *change->m_updated_host.m_target;
    answer(request,
           {{"plan", change->m_reason},
            {"pools_before", describe_pools(node.m_fleet)},
            {"pools_after", describe_pools(after)}},
           out);
}

} // namespace

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
