#include "contract/contract_parser.h"

#include <boost/json.hpp>
#include <cmath>
#include <cstdio>
#include <initializer_list>
#include <set>

#include "contract/digest.h"
#include "core/result.h"

namespace guavabay {

namespace json = boost::json;

namespace {

constexpr std::size_t max_name_length = 64;
constexpr double max_rate_per_second = 1e6;
constexpr std::int64_t max_requests = 1'000'000;
constexpr std::int64_t max_wait_ms = 24LL * 3600 * 1000;
constexpr std::int64_t max_hosts = 100'000;
constexpr std::int64_t max_resource = 1'000'000'000'000;
constexpr std::int64_t max_weight = 1000;

/// An object of the contract being read, with its place and the list that collects faults.
struct object_reader {
    const json::object& m_object;
    std::string m_pointer;
    std::vector<contract_fault>& m_faults;

    /// Records a fault at a member of this object.
    void fault(std::string_view member, std::string reason) const
    {
        std::string pointer = m_pointer;
        if (!member.empty()) {
            pointer += '/';
            pointer += member;
        }
        m_faults.push_back({std::move(pointer), std::move(reason)});
    }

    /// Records a fault for every member that is not in the list.
    void reject_unknown(std::initializer_list<std::string_view> known) const
    {
        for (const auto& member : m_object) {
            const std::string_view name(member.key().data(), member.key().size());
            bool found = false;
            for (const std::string_view candidate : known) {
                found = found || candidate == name;
            }
            if (!found) {
                fault(name, "unknown field");
            }
        }
    }

    /// Finds a member; a missing one is a fault when it is required.
    [[nodiscard]] const json::value* member(std::string_view name, bool required) const
    {
        const json::value* value = m_object.if_contains({name.data(), name.size()});
        if (value == nullptr && required) {
            fault(name, "missing");
        }
        return value;
    }

    /// Reads a whole number within a range.
    [[nodiscard]] std::int64_t integer(std::string_view name, std::int64_t low, std::int64_t high,
                                       std::optional<std::int64_t> absent = std::nullopt) const
    {
        const json::value* value = member(name, !absent);
        if (value == nullptr) {
            return absent.value_or(low);
        }
        const std::int64_t* number = value->if_int64();
        if (number == nullptr || *number < low || *number > high) {
            fault(name, "must be a whole number from " + std::to_string(low) + " to " +
                            std::to_string(high));
            return low;
        }
        return *number;
    }

    /// Reads a name of letters, digits, dash, underscore and dot.
    [[nodiscard]] std::string name(std::string_view field) const
    {
        const json::value* value = member(field, true);
        if (value == nullptr) {
            return {};
        }
        const json::string* text = value->if_string();
        if (text == nullptr || text->empty() || text->size() > max_name_length ||
            text->find_first_not_of("abcdefghijklmnopqrstuvwxyz"
                                    "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.") !=
                json::string::npos) {
            fault(field, "must be 1 to 64 letters, digits, dashes, underscores or dots");
            return {};
        }
        return {text->data(), text->size()};
    }

    /// Reads one word out of a list; gives its index.
    [[nodiscard]] std::size_t word(std::string_view field,
                                   std::initializer_list<std::string_view> words,
                                   std::optional<std::size_t> absent = std::nullopt) const
    {
        const json::value* value = member(field, !absent);
        if (value == nullptr) {
            return absent.value_or(0);
        }
        std::size_t index = 0;
        std::string allowed;
        for (const std::string_view candidate : words) {
            if (value->is_string() &&
                value->get_string() == json::string_view(candidate.data(), candidate.size())) {
                return index;
            }
            allowed += allowed.empty() ? "" : ", ";
            allowed += candidate;
            ++index;
        }
        fault(field, "must be one of: " + allowed);
        return 0;
    }

    /// Reads true or false.
    [[nodiscard]] bool boolean(std::string_view field, bool absent) const
    {
        const json::value* value = member(field, false);
        if (value == nullptr) {
            return absent;
        }
        if (!value->is_bool()) {
            fault(field, "must be true or false");
            return absent;
        }
        return value->get_bool();
    }

    /// Reads a positive number.
    [[nodiscard]] double positive(std::string_view field, double high) const
    {
        const json::value* value = member(field, true);
        if (value == nullptr) {
            return 1;
        }
        const double number = value->is_number() ? value->to_number<double>() : 0;
        if (number <= 0 || number > high) {
            fault(field, "must be a number above 0 and at most " +
                             std::to_string(static_cast<std::int64_t>(high)));
            return 1;
        }
        return number;
    }

    /// Reads a moment.
    [[nodiscard]] std::optional<wall_time> moment(std::string_view field, bool required) const
    {
        const json::value* value = member(field, required);
        if (value == nullptr) {
            return std::nullopt;
        }
        std::optional<wall_time> parsed;
        if (value->is_string()) {
            const json::string& text = value->get_string();
            parsed = parse_wall_time({text.data(), text.size()});
        }
        if (!parsed) {
            fault(field, "must be a time such as 2026-12-31T00:00:00Z");
        }
        return parsed;
    }

    /// Calls a function with a reader for each object of a list.
    template <typename Function>
    void each(std::string_view field, bool required, Function&& function) const
    {
        const json::value* value = member(field, required);
        if (value == nullptr) {
            return;
        }
        if (!value->is_array()) {
            fault(field, "must be a list");
            return;
        }
        std::size_t index = 0;
        for (const json::value& element : value->get_array()) {
            const std::string place = std::string(field) + "/" + std::to_string(index);
            if (element.is_object()) {
                function(object_reader{element.get_object(), m_pointer + "/" + place, m_faults});
            }
            else {
                fault(place, "must be an object");
            }
            ++index;
        }
    }
};

service_grant read_service(const object_reader& reader)
{
    reader.reject_unknown({"name", "class", "rate_per_second", "burst", "concurrency",
                           "queue_limit", "queue_deadline_ms", "run_limit_ms",
                           "post_is_idempotent"});
    service_grant grant;
    grant.m_name = service_id(reader.name("name"));
    grant.m_class = static_cast<service_class>(reader.word("class", {"interactive", "batch"}));
    grant.m_rate_per_second = reader.positive("rate_per_second", max_rate_per_second);
    grant.m_burst = static_cast<std::uint32_t>(reader.integer("burst", 1, max_requests));
    grant.m_concurrency =
        static_cast<std::uint32_t>(reader.integer("concurrency", 1, max_requests));
    grant.m_queue_limit =
        static_cast<std::uint32_t>(reader.integer("queue_limit", 0, max_requests, 1000));
    grant.m_queue_deadline = milliseconds(reader.integer("queue_deadline_ms", 1, max_wait_ms));
    grant.m_run_limit = milliseconds(reader.integer("run_limit_ms", 1, max_wait_ms, 30'000));
    grant.m_post_is_idempotent = reader.boolean("post_is_idempotent", false);
    return grant;
}

host_grant read_hosts(const object_reader& reader)
{
    reader.reject_unknown({"pool", "min", "max"});
    host_grant grant;
    grant.m_pool = pool_id(reader.name("pool"));
    grant.m_min = static_cast<std::uint32_t>(reader.integer("min", 0, max_hosts));
    grant.m_max = static_cast<std::uint32_t>(reader.integer("max", 0, max_hosts));
    if (grant.m_max < grant.m_min) {
        reader.fault("max", "must not be below min");
    }
    return grant;
}

void read_tasks(const object_reader& reader, task_grant& grant)
{
    const json::value* value = reader.member("tasks", false);
    if (value == nullptr) {
        return;
    }
    if (!value->is_object()) {
        reader.fault("tasks", "must be an object");
        return;
    }
    const object_reader tasks{value->get_object(), "/tasks", reader.m_faults};
    tasks.reject_unknown({"running", "cpu_millis", "memory_mb", "accelerators"});
    grant.m_running = static_cast<std::uint32_t>(tasks.integer("running", 0, max_requests));
    grant.m_cpu_millis = static_cast<std::uint64_t>(tasks.integer("cpu_millis", 0, max_resource));
    grant.m_memory_mb = static_cast<std::uint64_t>(tasks.integer("memory_mb", 0, max_resource));
    grant.m_accelerators =
        static_cast<std::uint32_t>(tasks.integer("accelerators", 0, max_requests, 0));
}

void read_keys(const object_reader& reader, std::vector<key_digest>& keys)
{
    const json::value* value = reader.member("keys_sha256", true);
    if (value == nullptr) {
        return;
    }
    if (!value->is_array() || value->get_array().empty()) {
        reader.fault("keys_sha256", "must be a list of at least one digest");
        return;
    }
    std::size_t index = 0;
    for (const json::value& element : value->get_array()) {
        std::optional<key_digest> digest;
        if (element.is_string()) {
            const json::string& text = element.get_string();
            digest = parse_digest({text.data(), text.size()});
        }
        if (digest) {
            keys.push_back(*digest);
        }
        else {
            reader.fault("keys_sha256/" + std::to_string(index), "must be 64 hexadecimal digits");
        }
        ++index;
    }
}

void read_services(const object_reader& reader, std::vector<service_grant>& services)
{
    std::set<service_id> seen;
    reader.each("services", true, [&](const object_reader& element) {
        service_grant grant = read_service(element);
        if (!seen.insert(grant.m_name).second) {
            element.fault("name", "names a service twice");
        }
        services.push_back(std::move(grant));
    });
}

contract read_contract(const object_reader& reader)
{
    reader.reject_unknown({"customer", "keys_sha256", "weight", "begins", "ends", "on_isolation",
                           "survives", "services", "hosts", "tasks"});
    contract terms;
    terms.m_customer = customer_id(reader.name("customer"));
    read_keys(reader, terms.m_keys);
    terms.m_weight = static_cast<std::uint32_t>(reader.integer("weight", 1, max_weight, 1));
    terms.m_begins = reader.moment("begins", true).value_or(wall_time{});
    terms.m_ends = reader.moment("ends", false);
    if (terms.m_ends && *terms.m_ends < terms.m_begins) {
        reader.fault("ends", "must not be before begins");
    }
    terms.m_on_isolation =
        static_cast<isolation_rule>(reader.word("on_isolation", {"serve", "stop"}, 0));
    terms.m_survives =
        static_cast<survivable_failure>(reader.word("survives", {"host", "rack", "zone"}, 1));
    read_services(reader, terms.m_services);
    reader.each("hosts", false, [&](const object_reader& element) {
        terms.m_hosts.push_back(read_hosts(element));
    });
    read_tasks(reader, terms.m_tasks);
    return terms;
}

json::object format_service(const service_grant& grant)
{
    json::object object;
    object["name"] = grant.m_name.str();
    object["class"] = grant.m_class == service_class::interactive ? "interactive" : "batch";
    object["rate_per_second"] = grant.m_rate_per_second;
    object["burst"] = static_cast<std::int64_t>(grant.m_burst);
    object["concurrency"] = static_cast<std::int64_t>(grant.m_concurrency);
    object["queue_limit"] = static_cast<std::int64_t>(grant.m_queue_limit);
    object["queue_deadline_ms"] = static_cast<std::int64_t>(grant.m_queue_deadline.count());
    object["run_limit_ms"] = static_cast<std::int64_t>(grant.m_run_limit.count());
    object["post_is_idempotent"] = grant.m_post_is_idempotent;
    return object;
}

} // namespace

std::optional<contract> parse_contract(std::string_view text, std::vector<contract_fault>& faults)
{
    boost::system::error_code error;
    const json::value value = json::parse({text.data(), text.size()}, error);
    if (error) {
        faults.push_back({"", "not JSON: " + error.message()});
        return std::nullopt;
    }
    if (!value.is_object()) {
        faults.push_back({"", "must be an object"});
        return std::nullopt;
    }
    const std::size_t before = faults.size();
    contract terms = read_contract(object_reader{value.get_object(), "", faults});
    if (faults.size() != before) {
        return std::nullopt;
    }
    return terms;
}

std::string format_contract(const contract& terms)
{
    json::object object;
    object["customer"] = terms.m_customer.str();
    json::array keys;
    for (const key_digest& digest : terms.m_keys) {
        keys.emplace_back(format_digest(digest));
    }
    object["keys_sha256"] = std::move(keys);
    object["weight"] = static_cast<std::int64_t>(terms.m_weight);
    object["begins"] = format_wall_time(terms.m_begins);
    if (terms.m_ends) {
        object["ends"] = format_wall_time(*terms.m_ends);
    }
    object["on_isolation"] = terms.m_on_isolation == isolation_rule::serve ? "serve" : "stop";
    constexpr std::array<const char*, 3> failures{"host", "rack", "zone"};
    object["survives"] = failures.at(static_cast<std::size_t>(terms.m_survives));
    json::array services;
    for (const service_grant& grant : terms.m_services) {
        services.push_back(format_service(grant));
    }
    object["services"] = std::move(services);
    json::array hosts;
    for (const host_grant& grant : terms.m_hosts) {
        hosts.push_back({{"pool", grant.m_pool.str()},
                         {"min", static_cast<std::int64_t>(grant.m_min)},
                         {"max", static_cast<std::int64_t>(grant.m_max)}});
    }
    object["hosts"] = std::move(hosts);
    object["tasks"] = {{"running", static_cast<std::int64_t>(terms.m_tasks.m_running)},
                       {"cpu_millis", static_cast<std::int64_t>(terms.m_tasks.m_cpu_millis)},
                       {"memory_mb", static_cast<std::int64_t>(terms.m_tasks.m_memory_mb)},
                       {"accelerators", static_cast<std::int64_t>(terms.m_tasks.m_accelerators)}};
    return json::serialize(object);
}

std::string describe(const std::vector<contract_fault>& faults)
{
    std::string text;
    for (const contract_fault& fault : faults) {
        text += text.empty() ? "" : "; ";
        text += (fault.m_pointer.empty() ? "/" : fault.m_pointer) + ": " + fault.m_reason;
    }
    return text;
}

std::optional<wall_time> parse_wall_time(std::string_view text)
{
    const std::string copy(text);
    int year = 0;
    unsigned month = 0;
    unsigned day = 0;
    int hour = 0;
    int minute = 0;
    double second = 0;
    int used = 0;
    const int fields = std::sscanf(copy.c_str(), "%4d-%2u-%2uT%2d:%2d:%lfZ%n", &year, &month, &day,
                                   &hour, &minute, &second, &used);
    const std::chrono::year_month_day date{std::chrono::year(year), std::chrono::month(month),
                                           std::chrono::day(day)};
    const bool in_range = date.ok() && hour >= 0 && hour < 24 && minute >= 0 && minute < 60 &&
                          second >= 0 && second < 60;
    if (fields != 6 || static_cast<std::size_t>(used) != copy.size() || !in_range) {
        return fail("malformed time " + copy);
    }
    const auto fraction = milliseconds(static_cast<std::int64_t>(std::lround(second * 1000)));
    return wall_time(std::chrono::sys_days(date).time_since_epoch() + std::chrono::hours(hour) +
                     std::chrono::minutes(minute) + fraction);
}

std::string format_wall_time(wall_time moment)
{
    const auto day = std::chrono::floor<std::chrono::days>(moment);
    const std::chrono::year_month_day date(day);
    const std::chrono::hh_mm_ss clock(moment - day);
    char text[64];
    std::snprintf(
        text, sizeof text, "%04d-%02u-%02uT%02d:%02d:%02d.%03dZ", static_cast<int>(date.year()),
        static_cast<unsigned>(date.month()), static_cast<unsigned>(date.day()),
        static_cast<int>(clock.hours().count()), static_cast<int>(clock.minutes().count()),
        static_cast<int>(clock.seconds().count()), static_cast<int>(clock.subseconds().count()));
    return text;
}

} // namespace guavabay
