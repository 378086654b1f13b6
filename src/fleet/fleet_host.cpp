#include "fleet/fleet_host.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>

#include "contract/contract_parser.h"
#include "core/json_fields.h"
#include "core/result.h"
#include "fleet/task_record.h"

namespace guavabay {

namespace json = boost::json;

namespace {

constexpr std::array<const char*, 4> state_names{"serving", "draining", "away", "failed"};

} // namespace

bool is_in_service(const fleet_view& fleet, const fleet_host& host)
{
    if (host.m_state != host_state::serving) {
        return false;
    }
    const auto report = fleet.m_reports.find(host.m_id);
    return report != fleet.m_reports.end() && report->second.m_up;
}

std::string to_string(host_state state)
{
    return state_names.at(static_cast<std::size_t>(state));
}

std::optional<fleet_host> parse_fleet_host(const std::string& id, const std::string& value)
{
    const std::optional<json::object> object = parse_json_object(value);
    if (!object) {
        return std::nullopt;
    }
    fleet_host host;
    host.m_id = worker_id(id);
    host.m_zone = zone_id(text_field(*object, "zone"));
    host.m_rack = rack_id(text_field(*object, "rack"));
    host.m_pool = pool_id(text_field(*object, "pool"));
    if (host.m_zone.empty() || host.m_rack.empty() || host.m_pool.empty()) {
        return fail("the host has no zone, rack or pool");
    }
    const std::string target = text_field(*object, "target");
    if (!target.empty()) {
        host.m_target = pool_id(target);
    }
    const std::string state = text_field(*object, "state");
    const auto name = std::find(state_names.begin(), state_names.end(), state);
    if (name == state_names.end()) {
        return fail("the state of the host is not known");
    }
    host.m_state = static_cast<host_state>(name - state_names.begin());
    host.m_maintained_wave = wave_number(number_field(*object, "maintained"));
    host.m_changed_at = parse_wall_time(text_field(*object, "changed_at")).value_or(wall_time{});
    return host;
}

std::string format_fleet_host(const fleet_host& host)
{
    json::object object{{"zone", host.m_zone.str()},
                        {"rack", host.m_rack.str()},
                        {"pool", host.m_pool.str()},
                        {"state", to_string(host.m_state)},
                        {"maintained", host.m_maintained_wave.get()},
                        {"changed_at", format_wall_time(host.m_changed_at)}};
    if (host.m_target) {
        object["target"] = host.m_target->str();
    }
    return json::serialize(object);
}

std::optional<host_report> parse_host_report(const std::string& value)
{
    const std::optional<json::object> object = parse_json_object(value);
    if (!object) {
        return std::nullopt;
    }
    host_report report;
    report.m_up = flag_field(*object, "up");
    report.m_empty = flag_field(*object, "empty");
    report.m_maintained_wave = wave_number(number_field(*object, "maintained"));
    report.m_capacity = read_resources(*object);
    return report;
}

std::string format_host_report(const host_report& report)
{
    json::object object{{"up", report.m_up},
                        {"empty", report.m_empty},
                        {"maintained", report.m_maintained_wave.get()}};
    write_resources(report.m_capacity, object);
    return json::serialize(object);
}

} // namespace guavabay
