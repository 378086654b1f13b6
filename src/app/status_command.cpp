#include "app/status_command.h"

#include <algorithm>
#include <boost/json.hpp>
#include <iostream>
#include <sstream>

#include "app/exit_status.h"
#include "app/histogram_view.h"
#include "app/operator_reply.h"
#include "core/result.h"

namespace guavabay {

namespace json = boost::json;

namespace {

std::string state_line(const json::value& entry)
{
    if (entry.as_object().contains("unable_to_serve")) {
        return "unable to serve";
    }
    std::ostringstream text;
    text << "version " << entry.at("version_in_force").as_int64() << ", access "
         << entry.at("access").as_string().c_str() << ", " << entry.at("waiting").to_number<int>()
         << " waiting, " << entry.at("running").to_number<int>() << " running";
    return text.str();
}

int print_customer_status(operator_client& client, const std::string& name, bool as_json)
{
    const operator_call call{http::verb::get, path_of(name, "status"), "", {}};
    if (as_json) {
        return print_reply(client, call);
    }
    const std::optional<operator_reply> reply = client.call(call);
    if (!reply || reply->m_status != ok_status) {
        std::cerr << name << ": " << (reply ? reason_in(reply->m_body) : last_reason()) << "\n";
        return exit_failure;
    }
    const json::value status = json::parse(reply->m_body);
    const bool everywhere = status.at("in_force_everywhere").as_bool();
    std::cout << name << " version " << status.at("version").as_int64() << " "
              << status.at("state").as_string().c_str() << " since "
              << status.at("changed_at").as_string().c_str()
              << (everywhere ? ", in force everywhere" : ", not in force everywhere") << "\n";
    for (const json::value& entry : status.at("hosts").as_array()) {
        std::cout << "  " << entry.at("host").as_string().c_str() << ": " << state_line(entry)
                  << "\n";
    }
    for (const std::string& line : missing_in(status.as_object())) {
        std::cout << "  missing: " << line << "\n";
    }
    return everywhere ? exit_success : exit_not_in_force;
}

int print_members(operator_client& client)
{
    const std::optional<operator_reply> reply =
        client.call({http::verb::get, "/v1/members", "", {}});
    if (!reply || reply->m_status != ok_status) {
        std::cerr << (reply ? reason_in(reply->m_body) : last_reason()) << "\n";
        return exit_failure;
    }
    const json::value value = json::parse(reply->m_body);
    std::cout << "store " << (value.at("store_reachable").as_bool() ? "reachable" : "unreachable")
              << ", epoch " << value.at("epoch").to_number<std::int64_t>() << "\n";
    for (const json::value& entry : value.at("members").as_array()) {
        std::cout << entry.at("host").as_string().c_str() << " zone "
                  << entry.at("zone").as_string().c_str() << " "
                  << entry.at("phase").as_string().c_str()
                  << (entry.at("alive").as_bool() ? " alive" : " silent") << "\n";
    }
    return exit_success;
}

/// Prints the histograms of all entry hosts, added up.
int print_histograms(const setting_values& values)
{
    histogram_sum sum;
    int status = exit_success;
    for (const std::string& text : values.list("operators")) {
        operator_client client({*parse_address(text)}, values.text("operator-key"));
        const auto reply = client.call({http::verb::get, "/v1/histograms", "", {}});
        if (!reply || reply->m_status != ok_status || !sum.add(reply->m_body)) {
            std::cerr << text << ": " << last_reason() << "\n";
            status = exit_failure;
        }
    }
    std::cout << sum.describe();
    return status;
}

std::vector<setting> status_settings()
{
    std::vector<setting> settings = declare_operator_settings();
    settings.push_back({"histograms",
                        setting_kind::word,
                        "no",
                        false,
                        0,
                        0,
                        "",
                        "Whether to print the times of requests by customer and class.",
                        {"no", "yes"}});
    return settings;
}

} // namespace

int run_status(const std::vector<std::string>& arguments)
{
    const std::optional<parsed_command> parsed =
        parse_command("status", "Shows entry hosts and what is in force on them.",
                      status_settings(), "NAME...", arguments);
    if (!parsed) {
        std::cerr << "guavabay status: " << last_reason() << "\n";
        return exit_usage;
    }
    if (parsed->m_values.text("histograms") == "yes") {
        return print_histograms(parsed->m_values);
    }
    operator_client client = make_operator_client(parsed->m_values);
    const bool as_json = parsed->m_values.text("json") == "yes";
    if (parsed->m_operands.empty()) {
        return as_json ? print_reply(client, {http::verb::get, "/v1/members", "", {}})
                       : print_members(client);
    }
    int worst = exit_success;
    for (const std::string& name : parsed->m_operands) {
        worst = std::max(worst, print_customer_status(client, name, as_json));
    }
    return worst;
}

} // namespace guavabay
