#include "config/records.h"

#include <boost/json.hpp>

#include "contract/contract_parser.h"
#include "core/json_fields.h"
#include "core/result.h"
#include "fleet/wave_plan.h"

namespace guavabay {

namespace json = boost::json;

namespace {

constexpr std::size_t max_slots = 100'000;

std::vector<contract_change> read_history(const json::object& object)
{
    std::vector<contract_change> history;
    const json::value* list = object.if_contains("history");
    if (list == nullptr || !list->is_array()) {
        return history;
    }
    for (const json::value& entry : list->get_array()) {
        if (entry.is_object()) {
            history.push_back({operation_id(text_field(entry.get_object(), "operation")),
                               revision(number_field(entry.get_object(), "revision"))});
        }
    }
    return history;
}

json::array write_members(const std::vector<epoch_member>& members)
{
    json::array list;
    for (const epoch_member& one : members) {
        list.push_back({{"host", one.m_host.str()},
                        {"zone", one.m_zone.str()},
                        {"incarnation", one.m_incarnation.get()}});
    }
    return list;
}

std::vector<epoch_member> read_members(const json::object& object, std::string_view name)
{
    std::vector<epoch_member> members;
    const json::value* list = object.if_contains({name.data(), name.size()});
    if (list == nullptr || !list->is_array()) {
        return members;
    }
    for (const json::value& entry : list->get_array()) {
        if (entry.is_object()) {
            const json::object& fields = entry.get_object();
            const auto run = static_cast<std::uint64_t>(number_field(fields, "incarnation"));
            members.push_back({host_id(text_field(fields, "host")),
                               zone_id(text_field(fields, "zone")), incarnation(run)});
        }
    }
    return members;
}

} // namespace

std::optional<contract_record> parse_contract_record(const std::string& value)
{
    const std::optional<json::object> object = parse_json_object(value);
    if (!object) {
        return std::nullopt;
    }
    const json::value* terms = object->if_contains("contract");
    if (terms == nullptr) {
        return fail("the record has no contract");
    }
    std::vector<contract_fault> faults;
    std::optional<contract> parsed = parse_contract(json::serialize(*terms), faults);
    if (!parsed) {
        return fail(describe(faults));
    }
    const std::string state = text_field(*object, "state");
    if (state != "active" && state != "ended") {
        return fail("the state is neither active nor ended");
    }
    contract_record record;
    record.m_terms = std::move(*parsed);
    record.m_ended = state == "ended";
    record.m_operation = operation_id(text_field(*object, "operation"));
    record.m_operator = text_field(*object, "operator");
    record.m_changed_at = parse_wall_time(text_field(*object, "changed_at")).value_or(wall_time{});
    record.m_history = read_history(*object);
    return record;
}

std::string format_contract_record(const contract_record& record)
{
    json::object object;
    object["contract"] = json::parse(format_contract(record.m_terms));
    object["state"] = record.m_ended ? "ended" : "active";
    object["operation"] = record.m_operation.str();
    object["operator"] = record.m_operator;
    object["changed_at"] = format_wall_time(record.m_changed_at);
    json::array history;
    for (const contract_change& change : record.m_history) {
        history.push_back(
            {{"operation", change.m_operation.str()}, {"revision", change.m_revision.get()}});
    }
    object["history"] = std::move(history);
    return json::serialize(object);
}

std::optional<endpoint_listing> parse_endpoint(const std::string& key, const std::string& value)
{
    const std::optional<json::object> object = parse_json_object(value);
    if (!object) {
        return std::nullopt;
    }
    const std::size_t service_at = endpoint_prefix.size();
    const std::size_t slash = key.find('/', service_at);
    if (slash == std::string::npos || slash + 1 == key.size()) {
        return fail("the key names no service and endpoint");
    }
    endpoint_listing listing;
    listing.m_service = service_id(key.substr(service_at, slash - service_at));
    listing.m_id = endpoint_id(key.substr(slash + 1));
    listing.m_address = text_field(*object, "address");
    listing.m_zone = zone_id(text_field(*object, "zone"));
    listing.m_rack = rack_id(text_field(*object, "rack"));
    const std::int64_t slots = number_field(*object, "slots");
    if (listing.m_address.find(':') == std::string::npos) {
        return fail("the address is not an IP number and a port");
    }
    if (slots <= 0 || slots > static_cast<std::int64_t>(max_slots)) {
        return fail("the number of slots is out of range");
    }
    listing.m_slots = static_cast<std::uint32_t>(slots);
    const std::string state = text_field(*object, "state");
    if (state != "live" && state != "leaving") {
        return fail("the state is neither live nor leaving");
    }
    listing.m_leaving = state == "leaving";
    return listing;
}

std::string format_endpoint(const endpoint_listing& listing)
{
    json::object object;
    object["address"] = listing.m_address;
    object["zone"] = listing.m_zone.str();
    object["rack"] = listing.m_rack.str();
    object["slots"] = static_cast<std::int64_t>(listing.m_slots);
    object["state"] = listing.m_leaving ? "leaving" : "live";
    return json::serialize(object);
}

std::optional<epoch_record> parse_epoch(const std::string& value)
{
    const std::optional<json::object> object = parse_json_object(value);
    if (!object) {
        return std::nullopt;
    }
    epoch_record record;
    record.m_number = epoch(static_cast<std::uint64_t>(number_field(*object, "number")));
    record.m_members = read_members(*object, "members");
    record.m_previous = read_members(*object, "previous");
    if (record.m_number == epoch{} || record.m_members.empty()) {
        return fail("the epoch has no number or no members");
    }
    return record;
}

std::string format_epoch(const epoch_record& record)
{
    json::object object;
    object["number"] = static_cast<std::int64_t>(record.m_number.get());
    object["members"] = write_members(record.m_members);
    object["previous"] = write_members(record.m_previous);
    return json::serialize(object);
}

std::string validate_record(const std::string& key, const std::string& value)
{
    if (key.starts_with(contract_prefix)) {
        const std::optional<contract_record> record = parse_contract_record(value);
        if (!record) {
            return last_reason();
        }
        return contract_key(record->m_terms.m_customer) == key ? "" : "the customer is another";
    }
    if (key.starts_with(endpoint_prefix)) {
        return parse_endpoint(key, value) ? "" : last_reason();
    }
    if (key.starts_with(proof_prefix) || key.starts_with(member_prefix)) {
        return parse_json_object(value) ? "" : last_reason();
    }
    if (key == wave_key) {
        return parse_wave(value) ? "" : last_reason();
    }
    if (key == epoch_key) {
        return parse_epoch(value) ? "" : last_reason();
    }
    return "";
}

std::string contract_key(const customer_id& customer)
{
    return std::string(contract_prefix) + customer.str();
}

} // namespace guavabay
