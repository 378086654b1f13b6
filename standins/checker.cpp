#include "checker.h"

#include <boost/json.hpp>
#include <fstream>
#include <iostream>
#include <map>
#include <sstream>

#include "core/json_fields.h"

namespace standins {

namespace json = boost::json;

namespace {

constexpr std::size_t max_printed = 20;

std::vector<std::string> split(const std::string& text)
{
    std::vector<std::string> parts;
    std::stringstream stream(text);
    std::string part;
    while (std::getline(stream, part, ',')) {
        parts.push_back(part);
    }
    return parts;
}

} // namespace

check_report check_records(const std::vector<run_record>& runs,
                           const std::vector<told_record>& told, std::int64_t leaving_limit_ms)
{
    check_report report;
    report.m_requests = told.size();
    report.m_runs = runs.size();
    std::map<std::string, std::uint64_t> runs_by_id;
    std::map<std::string, bool> idempotent;
    for (const run_record& run : runs) {
        ++runs_by_id[run.m_id];
        idempotent[run.m_id] = run.m_idempotent;
        const bool late = run.m_leaving_since_ms > 0 &&
                          run.m_start_ms - run.m_leaving_since_ms > leaving_limit_ms;
        if (late) {
            report.m_violations.push_back("run " + run.m_id + " at leaving endpoint " +
                                          run.m_endpoint);
        }
    }
    for (const auto& [id, count] : runs_by_id) {
        if (count > 1 && !idempotent[id]) {
            report.m_violations.push_back("request " + id + " ran " + std::to_string(count) +
                                          " times");
        }
    }
    std::map<std::string, std::uint64_t> runs_by_key;
    for (const told_record& one : told) {
        const auto found = runs_by_id.find(one.m_id);
        const std::uint64_t count = found == runs_by_id.end() ? 0 : found->second;
        if (one.m_ran == "no" && count > 0) {
            report.m_violations.push_back("request " + one.m_id + " was called not run and ran");
        }
        if (!one.m_own_answer) {
            report.m_violations.push_back("request " + one.m_id + " got a foreign or cut answer");
        }
        if (one.m_answered_by_endpoint && count == 0) {
            report.m_violations.push_back("request " + one.m_id + " was answered and never ran");
        }
        if (!one.m_key.empty()) {
            runs_by_key[one.m_key] += count;
        }
    }
    for (const auto& [key, count] : runs_by_key) {
        if (count > 1) {
            report.m_violations.push_back("key " + key + " ran " + std::to_string(count) +
                                          " times");
        }
    }
    return report;
}

std::vector<run_record> read_runs(std::istream& stream)
{
    std::vector<run_record> runs;
    std::string line;
    while (std::getline(stream, line)) {
        const json::value value = json::parse(line);
        const json::object& object = value.as_object();
        runs.push_back(
            {guavabay::text_field(object, "id"), guavabay::text_field(object, "endpoint"),
             guavabay::number_field(object, "start_ms"), guavabay::flag_field(object, "idempotent"),
             guavabay::number_field(object, "leaving_since_ms")});
    }
    return runs;
}

std::vector<told_record> read_told(std::istream& stream)
{
    std::vector<told_record> told;
    std::string line;
    while (std::getline(stream, line)) {
        const json::value value = json::parse(line);
        const json::object& object = value.as_object();
        told.push_back({guavabay::text_field(object, "id"),
                        static_cast<int>(guavabay::number_field(object, "status")),
                        guavabay::text_field(object, "ran"), guavabay::flag_field(object, "own"),
                        guavabay::flag_field(object, "by_endpoint"),
                        guavabay::text_field(object, "key")});
    }
    return told;
}

int run_check(const options& given)
{
    std::vector<run_record> runs;
    for (const std::string& path : split(given.text("runs"))) {
        std::ifstream stream(path);
        const std::vector<run_record> part = read_runs(stream);
        runs.insert(runs.end(), part.begin(), part.end());
    }
    std::vector<told_record> told;
    for (const std::string& path : split(given.text("told"))) {
        std::ifstream stream(path);
        const std::vector<told_record> part = read_told(stream);
        told.insert(told.end(), part.begin(), part.end());
    }
    const check_report report = check_records(runs, told, given.number("leaving-ms", 3000));
    std::cout << "checked " << report.m_requests << " requests, " << report.m_runs << " runs, "
              << report.m_violations.size() << " violations\n";
    for (std::size_t i = 0; i < report.m_violations.size() && i < max_printed; ++i) {
        std::cout << "  " << report.m_violations[i] << "\n";
    }
    return report.m_violations.empty() && report.m_requests > 0 ? 0 : 1;
}

} // namespace standins
