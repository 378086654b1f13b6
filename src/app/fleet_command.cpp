#include "app/fleet_command.h"

#include <boost/json.hpp>
#include <iostream>
#include <thread>

#include "app/exit_status.h"
#include "app/holder_call.h"
#include "app/operator_reply.h"
#include "core/json_fields.h"
#include "core/result.h"
#include "core/time.h"

namespace guavabay {

namespace json = boost::json;

namespace {

std::vector<setting> fleet_settings()
{
    std::vector<setting> settings = declare_operator_settings();
    settings.push_back({"dry-run",
                        setting_kind::word,
                        "no",
                        false,
                        0,
                        0,
                        "",
                        "Whether only to show the plan and its effect.",
                        {"no", "yes"}});
    settings.push_back(
        {"pool", setting_kind::text, "", false, 0, 0, "", "Pool that a host moves to.", {}});
    settings.push_back({"number",
                        setting_kind::number,
                        "1",
                        false,
                        1,
                        1'000'000'000,
                        "",
                        "Number of a new wave, above all earlier ones.",
                        {}});
    settings.push_back({"spare",
                        setting_kind::text,
                        "",
                        false,
                        0,
                        0,
                        "",
                        "Pool that replaces hosts which do not come back.",
                        {}});
    settings.push_back({"longest-absence",
                        setting_kind::number,
                        "600",
                        false,
                        1,
                        86400,
                        "s",
                        "A host that is away longer has failed.",
                        {}});
    return settings;
}

constexpr milliseconds poll_interval{100};

/// Entry hosts at which a wave is not yet in force in a version.
std::vector<std::string> hosts_before(const setting_values& values, std::int64_t version)
{
    std::vector<std::string> missing;
    for (const std::string& text : values.list("operators")) {
        operator_client client({*parse_address(text)}, values.text("operator-key"));
        const auto reply = client.call({http::verb::get, "/v1/wave", "", {}});
        const auto wave = reply ? parse_json_object(reply->m_body) : std::nullopt;
        if (!wave || number_field(*wave, "version") < version) {
            missing.push_back(text);
        }
    }
    return missing;
}

/// Changes a wave and waits, as long as was asked for, until the change is in force everywhere.
int change_wave(const setting_values& values, const operator_call& call)
{
    std::string body;
    const int status = send_to_holder(values, call, body);
    const seconds patience(values.number("wait"));
    const auto accepted = parse_json_object(body);
    if (status != exit_success || patience.count() == 0 || !accepted) {
        return status;
    }
    const time_point start = read_clock();
    const std::int64_t version = number_field(*accepted, "version");
    std::vector<std::string> missing = hosts_before(values, version);
    while (!missing.empty() && read_clock() - start < patience) {
        std::this_thread::sleep_for(poll_interval);
        missing = hosts_before(values, version);
    }
    for (const std::string& address : missing) {
        std::cerr << "not in force at " << address << "\n";
    }
    return missing.empty() ? exit_success : exit_not_in_force;
}

int report_usage(const std::string& command, const std::string& reason)
{
    std::cerr << "guavabay " << command << ": " << reason << "\n";
    return exit_usage;
}

/// Splits off the action and parses the rest; empty with a reason.
std::optional<parsed_command> parse_action(const std::string& command,
                                           const std::vector<std::string>& arguments,
                                           std::string& action)
{
    if (arguments.empty() || arguments.front().starts_with("-")) {
        return fail("give an action");
    }
    action = arguments.front();
    return parse_command(command + " " + action, "Works on the fleet.", fleet_settings(), "HOST...",
                         {arguments.begin() + 1, arguments.end()});
}

} // namespace

int run_fleet(const std::vector<std::string>& arguments)
{
    std::string action;
    const std::optional<parsed_command> parsed = parse_action("fleet", arguments, action);
    if (!parsed) {
        return report_usage("fleet", last_reason());
    }
    if (action == "status") {
        return send_to_holder(parsed->m_values, {http::verb::get, "/v1/fleet", "", {}});
    }
    if (action != "move") {
        return report_usage("fleet", "give one of status, move");
    }
    const std::string pool = parsed->m_values.text("pool");
    if (pool.empty() || parsed->m_operands.empty()) {
        return report_usage("fleet", "move needs --pool and a host");
    }
    const bool dry = parsed->m_values.text("dry-run") == "yes";
    int worst = exit_success;
    for (const std::string& host : parsed->m_operands) {
        operator_call call{http::verb::put, "/v1/fleet/" + host + "/pool", pool, {}};
        if (dry) {
            call.m_headers.emplace_back("Dry-Run", "yes");
        }
        worst = std::max(worst, send_to_holder(parsed->m_values, call));
    }
    return worst;
}

int run_wave(const std::vector<std::string>& arguments)
{
    std::string action;
    const std::optional<parsed_command> parsed = parse_action("wave", arguments, action);
    if (!parsed) {
        return report_usage("wave", last_reason());
    }
    const setting_values& values = parsed->m_values;
    if (action == "status") {
        return send_to_holder(values, {http::verb::get, "/v1/wave", "", {}});
    }
    if (action == "start") {
        constexpr std::int64_t ms_per_second = 1000;
        const std::string body = json::serialize(
            json::object{{"number", values.number("number")},
                         {"spare", values.text("spare")},
                         {"longest_absence_ms", values.number("longest-absence") * ms_per_second}});
        return change_wave(values, {http::verb::put, "/v1/wave", body, {}});
    }
    if (action == "pause" || action == "resume") {
        return change_wave(values, {http::verb::post, "/v1/wave/" + action, "", {}});
    }
    return report_usage("wave", "give one of start, pause, resume, status");
}

} // namespace guavabay
