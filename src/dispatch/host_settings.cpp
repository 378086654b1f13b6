#include "dispatch/host_settings.h"

#include <boost/json.hpp>
#include <charconv>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include "core/json_fields.h"
#include "core/result.h"

namespace guavabay {

namespace {

/// Limits of the lease that a hold grants to a worker: an absolute one, and a fraction of the
/// longest lease that workers accept. Short leases let the tasks of a lost worker restart elsewhere
/// sooner, but a lease must outlast a change of the shard's owner, which takes the store's lease
/// plus the time to read the log.
constexpr milliseconds max_worker_lease{3000};
constexpr double worker_lease_fraction = 0.6;

/// Link bandwidth that matches one core, for the capacity of a host. For comparison, an owner of 85
/// workers that reads a worker list of 350 entries every half second uses 3 Mbit/s and 0.1 cores.
constexpr double link_megabits_per_core = 40;

setting address_setting(std::string name, bool required, std::string help)
{
    return {std::move(name), setting_kind::address, "", required, 0, 0, "", std::move(help), {}};
}

setting address_list_setting(std::string name, std::string help)
{
    return {std::move(name), setting_kind::address_list, "", false, 0, 0, "", std::move(help), {}};
}

/// Parses a number that may have a fraction. Returns nothing, with the error in last_reason(), if
/// it is malformed or out of range.
std::optional<double> parse_real(const setting_values& values, const std::string& name, double low,
                                 double high)
{
    const std::string& given = values.text(name);
    double parsed = 0;
    const auto [end, status] = std::from_chars(given.data(), given.data() + given.size(), parsed);
    if (status != std::errc() || end != given.data() + given.size() || parsed < low ||
        parsed > high) {
        std::ostringstream reason;
        reason << name << ": '" << given << "' is not allowed; allowed: " << low << " to " << high;
        return fail(reason.str());
    }
    return parsed;
}

ip_address required_address(const setting_values& values, const std::string& name)
{
    return *parse_address(values.text(name));
}

std::optional<ip_address> optional_address(const setting_values& values, const std::string& name)
{
    return values.text(name).empty() ? std::nullopt : parse_address(values.text(name));
}

milliseconds milliseconds_from_seconds(double length)
{
    return milliseconds(static_cast<std::int64_t>(length * 1000));
}

} // namespace

std::vector<setting> declare_host_settings()
{
    return {
        text_setting("settings", "",
                     "JSON file that maps names of these settings to string values."),
        {"host", setting_kind::text, "", true, 0, 0, "", "Name of this entry host.", {}},
        {"zone", setting_kind::text, "", true, 0, 0, "", "Availability zone of this host.", {}},
        address_setting("caller-address", true, "Address on which callers connect."),
        address_setting("readiness-address", true,
                        "Address of the readiness probe of the platform."),
        address_setting("peer-address", true, "Address on which other entry hosts connect."),
        address_setting("store-address", true, "Address of the platform's store."),
        address_list_setting("machines-address",
                             "Address of the platform's interface for machines; may be empty."),
        address_list_setting("advice-address",
                             "Address of the service that tells which workers may run a step."),
        address_list_setting("metrics-address",
                             "Address that serves metrics under /metrics; empty for none."),
        address_list_setting("seeds",
                             "Peer addresses of other entry hosts to contact first; may be stale."),
        number_setting("least-lease-ms", 1000, 100, 600000, "ms",
                       "Shortest lease that the store grants."),
        text_setting("grace-seconds", "6",
                     "Time from the stop signal to the forced kill, 1 to 600 s."),
        number_setting("longest-hold-ms", 10000, 500, 600000, "ms",
                       "Longest lease that a worker accepts."),
        number_setting("stop-ms", 900, 1, 60000, "ms",
                       "Longest time that a worker takes to stop a run."),
        number_setting("drain-ms", 2000, 1, 60000, "ms",
                       "Time after which a draining worker starts no more tasks."),
        number_setting("notice-ms", 4500, 1, 600000, "ms",
                       "Time after which an absence counts against availability."),
        number_setting("status-seconds", 120, 1, 86400, "s",
                       "How long a final state can be queried."),
        number_setting("early-ms", 250, 0, 60000, "ms",
                       "How early a repeated submission may start."),
        number_setting("impact-ms", 4000, 1, 600000, "ms",
                       "How long a tail latency may stay over its target."),
        number_setting("pace-ms", 100, 1, 60000, "ms", "Time until a changed pace takes effect."),
        text_setting("remote-factor", "1.5",
                     "Slow-down factor of a task away from its data, 1 to 100."),
        text_setting("quota-overage", "0",
                     "Tolerated share above the cap of an organisation, 0 to 10."),
        {"strict-revoke",
         setting_kind::word,
         "false",
         false,
         0,
         0,
         "",
         "Whether a host that hears neither the store nor any peer refuses requests with keys.",
         {"true", "false"}},
        number_setting("revoke-ms", 5000, 100, 600000, "ms",
                       "Time without the store and any peer after which strict-revoke applies."),
        text_setting("upkeep-seconds", "2", "Duration of the upkeep of a machine, 0 to 3600 s."),
        text_setting("move-seconds", "1.5", "Duration of the move of a machine, 0 to 3600 s."),
        text_setting("machine-orders-per-second", "16",
                     "Machine orders that the platform accepts per second, 0.1 to 10000."),
        text_setting("processor-share", "1",
                     "Number of cores that this host may use, 0.001 to 1024."),
        text_setting("processor-speed", "1",
                     "Speed of a core relative to other hosts, 0.01 to 1024."),
        text_setting("link-megabits", "1000",
                     "Bandwidth of this host's network link, 0.01 to 1000000 Mbit/s."),
        number_setting("memory-mb", 160, 32, 1048576, "MB",
                       "Memory of this host, from which the limits of callers' bytes follow."),
        number_setting("max-descriptors", 4100, 256, 1048576, "descriptors",
                       "Descriptors of this process, from which the limits of connections follow."),
        {"first-start",
         setting_kind::word,
         "false",
         false,
         0,
         0,
         "",
         "Whether the whole system is starting for the first time.",
         {"true", "false"}},
    };
}

std::optional<host_settings> make_host_settings(const setting_values& values)
{
    const auto grace = parse_real(values, "grace-seconds", 1, 600);
    const auto remote = grace ? parse_real(values, "remote-factor", 1, 100) : grace;
    const auto overage = remote ? parse_real(values, "quota-overage", 0, 10) : remote;
    const auto upkeep = overage ? parse_real(values, "upkeep-seconds", 0, 3600) : overage;
    const auto move = upkeep ? parse_real(values, "move-seconds", 0, 3600) : upkeep;
    const auto rate = move ? parse_real(values, "machine-orders-per-second", 0.1, 10000) : move;
    const auto share = rate ? parse_real(values, "processor-share", 0.001, 1024) : rate;
    const auto speed = share ? parse_real(values, "processor-speed", 0.01, 1024) : share;
    const auto link = speed ? parse_real(values, "link-megabits", 0.01, 1000000) : speed;
    if (!link) {
        return std::nullopt;
    }
    host_settings settings;
    settings.m_capacity = std::min(*share * *speed, *link / link_megabits_per_core);
    settings.m_host = host_id(values.text("host"));
    settings.m_zone = zone_id(values.text("zone"));
    settings.m_caller_address = required_address(values, "caller-address");
    settings.m_readiness_address = required_address(values, "readiness-address");
    settings.m_peer_address = required_address(values, "peer-address");
    settings.m_store_address = required_address(values, "store-address");
    settings.m_machines_address = optional_address(values, "machines-address");
    settings.m_advice_address = optional_address(values, "advice-address");
    settings.m_metrics_address = optional_address(values, "metrics-address");
    settings.m_seeds = values.list("seeds");
    settings.m_min_store_lease = milliseconds(values.number("least-lease-ms"));
    settings.m_grace_period = milliseconds_from_seconds(*grace);
    settings.m_upkeep_duration = milliseconds_from_seconds(*upkeep);
    settings.m_move_duration = milliseconds_from_seconds(*move);
    settings.m_machine_orders_per_s = *rate;
    settings.m_memory_mb = static_cast<std::size_t>(values.number("memory-mb"));
    settings.m_max_descriptors = static_cast<std::size_t>(values.number("max-descriptors"));
    settings.m_first_start = values.text("first-start") == "true";
    settings.m_revocation.m_strict = values.text("strict-revoke") == "true";
    settings.m_revocation.m_max_time = milliseconds(values.number("revoke-ms"));
    schedule_bounds& bounds = settings.m_bounds;
    const auto max_hold_ms = static_cast<double>(values.number("longest-hold-ms"));
    bounds.m_worker_lease =
        std::min(max_worker_lease,
                 milliseconds(static_cast<std::int64_t>(max_hold_ms * worker_lease_fraction)));
    bounds.m_max_worker_lease = milliseconds(values.number("longest-hold-ms"));
    bounds.m_stop_time = milliseconds(values.number("stop-ms"));
    bounds.m_drain_time = milliseconds(values.number("drain-ms"));
    bounds.m_absence_grace = milliseconds(values.number("notice-ms"));
    bounds.m_status_retention = seconds(values.number("status-seconds"));
    bounds.m_early_start_tolerance = milliseconds(values.number("early-ms"));
    bounds.m_max_tail_violation = milliseconds(values.number("impact-ms"));
    bounds.m_pace_settle_time = milliseconds(values.number("pace-ms"));
    bounds.m_remote_factor = *remote;
    bounds.m_quota_overage = *overage;
    return settings;
}

bool apply_settings_file(const std::string& path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    if (!file) {
        last_reason() = path + ": cannot read the file";
        return false;
    }
    const std::optional<boost::json::object> object = parse_json_object(text.str());
    if (!object) {
        last_reason() = path + ": " + last_reason();
        return false;
    }
    for (const setting& declared : declare_host_settings()) {
        const std::string value = text_field(*object, declared.m_name);
        if (!value.empty()) {
            setenv(variable_of(declared).c_str(), value.c_str(), 0);
        }
    }
    return true;
}

} // namespace guavabay
