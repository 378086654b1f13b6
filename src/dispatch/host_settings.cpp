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

/// Longest lease that is given to a worker with a hold, and share of the platform's limit. Short
/// leases let the work of a lost worker start elsewhere early; the lease has to outlast the change
/// of an owner, which takes the store's lease and a reading of the log.
constexpr milliseconds longest_worker_lease{3000};
constexpr double worker_lease_share = 0.6;

/// Bandwidth that goes with a core: an owner of 85 workers reads 350 entries of the workers' list
/// each half second, 3 Mbit/s, with 0.1 cores.
constexpr double megabits_per_core = 40;

setting address(std::string name, bool required, std::string help)
{
    return {std::move(name), setting_kind::address, "", required, 0, 0, "", std::move(help), {}};
}

setting address_list(std::string name, std::string help)
{
    return {std::move(name), setting_kind::address_list, "", false, 0, 0, "", std::move(help), {}};
}

/// A length of time or a rate with a fraction; empty with a reason when out of range.
std::optional<double> real_of(const setting_values& values, const std::string& name, double low,
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

ip_address address_of(const setting_values& values, const std::string& name)
{
    return *parse_address(values.text(name));
}

std::optional<ip_address> optional_address(const setting_values& values, const std::string& name)
{
    return values.text(name).empty() ? std::nullopt : parse_address(values.text(name));
}

milliseconds from_seconds(double length)
{
    return milliseconds(static_cast<std::int64_t>(length * 1000));
}

} // namespace

std::vector<setting> declare_host_settings()
{
    return {
        text_setting("settings", "", "File with these settings, a JSON object of names and texts."),
        {"host", setting_kind::text, "", true, 0, 0, "", "Name of this entry host.", {}},
        {"zone", setting_kind::text, "", true, 0, 0, "", "Availability zone of this host.", {}},
        address("caller-address", true, "Where callers connect."),
        address("readiness-address", true, "Where the platform asks whether this host is ready."),
        address("peer-address", true, "Where other entry hosts connect."),
        address("store-address", true, "The platform's store."),
        address_list("machines-address", "The platform's interface for machines, if there is one."),
        address_list("advice-address", "The service that tells which workers may run a step."),
        address_list("metrics-address",
                     "Where metrics are read, under /metrics; none serves none."),
        address_list("seeds", "Peer addresses of some other entry hosts; they may be stale."),
        number_setting("least-lease-ms", 1000, 100, 600000, "ms",
                       "Shortest lease that the store grants."),
        text_setting("grace-seconds", "6",
                     "Time between the order to stop and the kill, 1 to 600 s."),
        number_setting("longest-hold-ms", 10000, 500, 600000, "ms",
                       "Longest lease that a worker accepts."),
        number_setting("stop-ms", 900, 1, 60000, "ms",
                       "Longest time that a worker takes for a stop."),
        number_setting("drain-ms", 2000, 1, 60000, "ms",
                       "Time after which a draining worker gets no start."),
        number_setting("notice-ms", 4500, 1, 600000, "ms",
                       "Time after which an absence counts for availability."),
        number_setting("status-seconds", 120, 1, 86400, "s", "How long a final state is told."),
        number_setting("early-ms", 250, 0, 60000, "ms",
                       "How early a repeated submission may start."),
        number_setting("impact-ms", 4000, 1, 600000, "ms",
                       "How long a tail may stay over its target."),
        number_setting("pace-ms", 100, 1, 60000, "ms", "Time until a changed pace is in effect."),
        text_setting("remote-factor", "1.5", "Slow-down of a task away from its data, 1 to 100."),
        text_setting("upkeep-seconds", "2", "How long the upkeep of a machine takes, 0 to 3600 s."),
        text_setting("move-seconds", "1.5", "How long a move of a machine takes, 0 to 3600 s."),
        text_setting("machine-orders-per-second", "16",
                     "Orders for machines that the platform takes, 0.1 to 10000 a second."),
        text_setting("processor-share", "1", "Cores that this host may use, 0.001 to 1024."),
        text_setting("processor-speed", "1", "Speed of a core relative to others, 0.01 to 1024."),
        text_setting("link-megabits", "1000",
                     "Bandwidth of this host's link, 0.01 to 1000000 Mbit/s."),
        {"first-start",
         setting_kind::word,
         "false",
         false,
         0,
         0,
         "",
         "Whether the whole system starts for the first time.",
         {"true", "false"}},
    };
}

std::optional<host_settings> make_host_settings(const setting_values& values)
{
    const auto grace = real_of(values, "grace-seconds", 1, 600);
    const auto remote = grace ? real_of(values, "remote-factor", 1, 100) : grace;
    const auto upkeep = remote ? real_of(values, "upkeep-seconds", 0, 3600) : remote;
    const auto move = upkeep ? real_of(values, "move-seconds", 0, 3600) : upkeep;
    const auto rate = move ? real_of(values, "machine-orders-per-second", 0.1, 10000) : move;
    const auto share = rate ? real_of(values, "processor-share", 0.001, 1024) : rate;
    const auto speed = share ? real_of(values, "processor-speed", 0.01, 1024) : share;
    const auto link = speed ? real_of(values, "link-megabits", 0.01, 1000000) : speed;
    if (!link) {
        return std::nullopt;
    }
    host_settings settings;
    settings.m_capacity = std::min(*share * *speed, *link / megabits_per_core);
    settings.m_host = host_id(values.text("host"));
    settings.m_zone = zone_id(values.text("zone"));
    settings.m_caller_address = address_of(values, "caller-address");
    settings.m_readiness_address = address_of(values, "readiness-address");
    settings.m_peer_address = address_of(values, "peer-address");
    settings.m_store_address = address_of(values, "store-address");
    settings.m_machines_address = optional_address(values, "machines-address");
    settings.m_advice_address = optional_address(values, "advice-address");
    settings.m_metrics_address = optional_address(values, "metrics-address");
    settings.m_seeds = values.list("seeds");
    settings.m_least_lease = milliseconds(values.number("least-lease-ms"));
    settings.m_stop_time = from_seconds(*grace);
    settings.m_upkeep_time = from_seconds(*upkeep);
    settings.m_move_time = from_seconds(*move);
    settings.m_machine_orders_per_s = *rate;
    settings.m_first_start = values.text("first-start") == "true";
    schedule_bounds& bounds = settings.m_bounds;
    const auto longest = static_cast<double>(values.number("longest-hold-ms"));
    bounds.m_worker_lease =
        std::min(longest_worker_lease,
                 milliseconds(static_cast<std::int64_t>(longest * worker_lease_share)));
    bounds.m_stop_time = milliseconds(values.number("stop-ms"));
    bounds.m_drain_time = milliseconds(values.number("drain-ms"));
    bounds.m_absence_grace = milliseconds(values.number("notice-ms"));
    bounds.m_status_retention = seconds(values.number("status-seconds"));
    bounds.m_early_start_tolerance = milliseconds(values.number("early-ms"));
    bounds.m_max_tail_violation = milliseconds(values.number("impact-ms"));
    bounds.m_pace_settle_time = milliseconds(values.number("pace-ms"));
    bounds.m_remote_factor = *remote;
    return settings;
}

bool apply_settings_file(const std::string& path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    if (!file) {
        last_reason() = path + ": cannot be read";
        return false;
    }
    const std::optional<boost::json::object> object = parse_json_object(text.str());
    if (!object) {
        last_reason() = path + ": " + last_reason();
        return false;
    }
    for (const setting& one : declare_host_settings()) {
        const std::string value = text_field(*object, one.m_name);
        if (!value.empty()) {
            setenv(variable_of(one).c_str(), value.c_str(), 0);
        }
    }
    return true;
}

} // namespace guavabay
