#include "node/fleet_records.h"

#include <set>

#include "core/result.h"
#include "fleet/budget.h"

namespace guavabay {

namespace {

void report_unreadable(const config_record& record, node_output& out)
{
    out.m_log.push_back({log_level::error, "fleet: unreadable record kept out key=" + record.m_key +
                                               " reason=" + last_reason()});
}

void note_fleet_change(node_state& node)
{
    node.m_fleet_duty.m_changed = true;
    ++node.m_fleet_version;
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
    note_fleet_change(node);
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
    note_fleet_change(node);
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

} // namespace

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

void forget_unlisted_hosts(node_state& node, const key_hashes& shown)
{
    const auto is_hidden = [&shown](std::string_view prefix) {
        return [&shown, prefix](const auto& entry) {
            return !contains_key(shown, std::string(prefix) + entry.first.str());
        };
    };
    const std::size_t erased = std::erase_if(node.m_fleet.m_hosts, is_hidden(host_prefix)) +
                               std::erase_if(node.m_fleet.m_reports, is_hidden(report_prefix));
    if (erased > 0) {
        note_fleet_change(node);
    }
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

} // namespace guavabay
