#include "app/contract_command.h"

#include <algorithm>
#include <boost/json.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>
#include <thread>

#include "app/exit_status.h"
#include "app/operator_client.h"
#include "app/operator_reply.h"
#include "contract/contract_parser.h"
#include "core/result.h"

namespace guavabay {

namespace json = boost::json;
namespace fs = std::filesystem;

namespace {

constexpr milliseconds poll_interval{100};

/// A contract file with its text and the customer that it names.
struct contract_file {
    std::string m_path;
    std::string m_text;
    customer_id m_customer;
};

/// The files that the operands name; a folder stands for its *.json files, in order.
std::vector<std::string> expand(const std::vector<std::string>& operands)
{
    std::vector<std::string> paths;
    for (const std::string& operand : operands) {
        if (!fs::is_directory(operand)) {
            paths.push_back(operand);
            continue;
        }
        std::vector<std::string> found;
        for (const fs::directory_entry& entry : fs::directory_iterator(operand)) {
            if (entry.path().extension() == ".json") {
                found.push_back(entry.path().string());
            }
        }
        std::sort(found.begin(), found.end());
        paths.insert(paths.end(), found.begin(), found.end());
    }
    return paths;
}

/// Reads and checks all files; prints every fault. Empty when one is faulty.
std::optional<std::vector<contract_file>> read_files(const std::vector<std::string>& operands)
{
    std::vector<contract_file> files;
    bool sound = true;
    for (const std::string& path : expand(operands)) {
        std::ifstream stream(path);
        std::stringstream text;
        text << stream.rdbuf();
        if (!stream) {
            std::cerr << path << ": cannot be read\n";
            sound = false;
            continue;
        }
        std::vector<contract_fault> faults;
        const std::optional<contract> terms = parse_contract(text.str(), faults);
        for (const contract_fault& fault : faults) {
            std::cerr << path << ": " << (fault.m_pointer.empty() ? "/" : fault.m_pointer) << ": "
                      << fault.m_reason << "\n";
        }
        sound = sound && terms.has_value();
        if (terms) {
            files.push_back({path, text.str(), terms->m_customer});
        }
    }
    if (!sound || files.empty()) {
        return fail(files.empty() && sound ? "no contract file given" : "a contract is faulty");
    }
    return files;
}

std::string make_operation()
{
    std::random_device source;
    std::ostringstream text;
    for (int i = 0; i < 4; ++i) {
        text << std::hex << source();
    }
    return text.str();
}

/// Waits until a version is in force everywhere; prints what is missing when time is up.
int wait_in_force(operator_client& client, const std::string& customer, std::int64_t version,
                  seconds patience)
{
    const time_point start = read_clock();
    std::vector<std::string> missing{"no entry host answered"};
    while (read_clock() - start < patience) {
        const std::optional<operator_reply> reply =
            client.call({http::verb::get, path_of(customer, "status"), "", {}});
        if (reply && reply->m_status == ok_status) {
            const json::value value = json::parse(reply->m_body);
            const json::object& status = value.as_object();
            missing = missing_in(status);
            const bool reached = status.at("version").as_int64() >= version;
            if (reached && missing.empty()) {
                std::cout << customer << ": version " << version << " in force everywhere after "
                          << to_milliseconds(read_clock() - start) << " ms\n";
                return exit_success;
            }
        }
        std::this_thread::sleep_for(poll_interval);
    }
    for (const std::string& line : missing) {
        std::cout << customer << ": not in force: " << line << "\n";
    }
    return exit_not_in_force;
}

/// Sends a change until its outcome is known or time is up.
int send_change(operator_client& client, const setting_values& values, http::verb method,
                const std::string& customer, const std::string& body)
{
    const std::string given = values.text("operation");
    operator_call call{method, path_of(customer), body, {}};
    call.m_headers.emplace_back("Operation-Id", given.empty() ? make_operation() : given);
    call.m_headers.emplace_back("Operator", values.text("operator"));
    if (!values.text("if-version").empty()) {
        call.m_headers.emplace_back("If-Version", values.text("if-version"));
    }
    const seconds patience(values.number("wait"));
    const time_point start = read_clock();
    std::optional<operator_reply> reply;
    do {
        reply = client.call(call);
        const bool unsettled = !reply || error_in(reply->m_body) == "outcome_unknown";
        if (!unsettled) {
            break;
        }
        std::this_thread::sleep_for(poll_interval);
    } while (read_clock() - start < patience);
    if (!reply) {
        std::cerr << customer << ": " << last_reason() << "\n";
        return exit_unknown;
    }
    if (reply->m_status != ok_status) {
        std::cerr << customer << ": " << reason_in(reply->m_body) << "\n";
        return error_in(reply->m_body) == "outcome_unknown" ? exit_unknown : exit_failure;
    }
    const json::value value = json::parse(reply->m_body);
    const std::int64_t version = value.at("version").as_int64();
    const bool changed = value.at("changed").as_bool();
    std::cout << customer << ": " << (changed ? "accepted as" : "unchanged at") << " version "
              << version << "\n";
    return patience.count() == 0 ? exit_success
                                 : wait_in_force(client, customer, version, patience);
}

int apply_files(operator_client& client, const parsed_command& parsed)
{
    const std::optional<std::vector<contract_file>> files = read_files(parsed.m_operands);
    if (!files) {
        std::cerr << "guavabay contract apply: " << last_reason() << "\n";
        return exit_failure;
    }
    int worst = exit_success;
    for (const contract_file& file : *files) {
        worst = std::max(worst, send_change(client, parsed.m_values, http::verb::put,
                                            file.m_customer.str(), file.m_text));
    }
    return worst;
}

int end_contracts(operator_client& client, const parsed_command& parsed)
{
    int worst = exit_success;
    for (const std::string& name : parsed.m_operands) {
        worst =
            std::max(worst, send_change(client, parsed.m_values, http::verb::delete_, name, ""));
    }
    return worst;
}

int print_list(operator_client& client, bool as_json)
{
    const operator_call call{http::verb::get, "/v1/contracts", "", {}};
    if (as_json) {
        return print_reply(client, call);
    }
    const std::optional<operator_reply> reply = client.call(call);
    if (!reply || reply->m_status != ok_status) {
        std::cerr << (reply ? reason_in(reply->m_body) : last_reason()) << "\n";
        return exit_failure;
    }
    const json::value value = json::parse(reply->m_body);
    for (const json::value& entry : value.at("contracts").as_array()) {
        std::cout << entry.at("customer").as_string().c_str() << " version "
                  << entry.at("version").as_int64() << " " << entry.at("state").as_string().c_str()
                  << "\n";
    }
    for (const json::value& entry : value.at("unreadable").as_array()) {
        std::cout << entry.at("key").as_string().c_str() << " version "
                  << entry.at("version").as_int64()
                  << " unreadable: " << entry.at("reason").as_string().c_str() << "\n";
    }
    return exit_success;
}

/// Prints the proof of departure, waiting until it is complete or time is up.
int print_proof(operator_client& client, const parsed_command& parsed, const std::string& name)
{
    operator_call call{http::verb::get, path_of(name, "proof"), "", {}};
    if (!parsed.m_values.text("assume-gone").empty()) {
        call.m_headers.emplace_back("Assume-Gone", parsed.m_values.text("assume-gone"));
    }
    const time_point start = read_clock();
    const seconds patience(parsed.m_values.number("wait"));
    while (true) {
        const std::optional<operator_reply> reply = client.call(call);
        const bool answered = reply && reply->m_status == ok_status;
        if (answered) {
            const json::value proof = json::parse(reply->m_body);
            if (proof.at("proved").as_bool()) {
                std::cout << reply->m_body << "\n";
                return exit_success;
            }
        }
        if (read_clock() - start >= patience) {
            if (!answered) {
                std::cerr << name << ": " << (reply ? reason_in(reply->m_body) : last_reason())
                          << "\n";
                return exit_failure;
            }
            const json::value proof = json::parse(reply->m_body);
            for (const std::string& line : missing_in(proof.as_object())) {
                std::cout << name << ": missing: " << line << "\n";
            }
            return exit_not_in_force;
        }
        std::this_thread::sleep_for(poll_interval);
    }
}

int check_files(const std::vector<std::string>& operands)
{
    const std::optional<std::vector<contract_file>> files = read_files(operands);
    if (!files) {
        std::cerr << "guavabay contract check: " << last_reason() << "\n";
        return exit_failure;
    }
    for (const contract_file& file : *files) {
        std::cout << file.m_path << ": sound, customer " << file.m_customer.str() << "\n";
    }
    return exit_success;
}

int report_usage(const std::string& reason)
{
    std::cerr << "guavabay contract: " << reason << "\n";
    return exit_usage;
}

} // namespace

int run_contract(const std::vector<std::string>& arguments)
{
    if (arguments.empty() || arguments.front().starts_with("-")) {
        return report_usage("give one of check, apply, get, list, end, proof");
    }
    const std::string& action = arguments.front();
    const std::vector<std::string> rest(arguments.begin() + 1, arguments.end());
    if (action == "check") {
        const std::optional<parsed_command> parsed = parse_command(
            "contract check", "Checks contract files without a connection.", {}, "FILE...", rest);
        return parsed ? check_files(parsed->m_operands) : report_usage(last_reason());
    }
    const std::vector<std::string> actions{"apply", "get", "list", "end", "proof"};
    if (std::find(actions.begin(), actions.end(), action) == actions.end()) {
        return report_usage("unknown action " + action);
    }
    const std::optional<parsed_command> parsed =
        parse_command("contract " + action, "Works on contracts.", declare_operator_settings(),
                      action == "apply" ? "FILE..." : "NAME...", rest);
    if (!parsed) {
        return report_usage(last_reason());
    }
    operator_client client = make_operator_client(parsed->m_values);
    if (action == "list") {
        return print_list(client, parsed->m_values.text("json") == "yes");
    }
    if (parsed->m_operands.empty()) {
        return report_usage(action + " needs a name");
    }
    if (action == "apply") {
        return apply_files(client, *parsed);
    }
    if (action == "end") {
        return end_contracts(client, *parsed);
    }
    int worst = exit_success;
    for (const std::string& name : parsed->m_operands) {
        const int status = action == "proof"
                               ? print_proof(client, *parsed, name)
                               : print_reply(client, {http::verb::get, path_of(name), "", {}});
        worst = std::max(worst, status);
    }
    return worst;
}

} // namespace guavabay
