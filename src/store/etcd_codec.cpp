#include "store/etcd_codec.h"

#include <boost/json.hpp>

#include "core/json_fields.h"
#include "core/result.h"
#include "net/base64.h"

namespace guavabay {

namespace json = boost::json;

namespace {

/// The first key after all keys that start with a prefix.
std::string end_of_prefix(std::string prefix)
{
    prefix.back() = static_cast<char>(prefix.back() + 1);
    return prefix;
}

/// The first key after all keys that the watch shows.
std::string end_of_watched(const std::string& prefix)
{
    return prefix + unwatched_mark;
}

const json::object* object_at(const json::object& object, std::string_view name)
{
    const json::value* value = object.if_contains({name.data(), name.size()});
    return value == nullptr ? nullptr : value->if_object();
}

const json::array* array_at(const json::object& object, std::string_view name)
{
    const json::value* value = object.if_contains({name.data(), name.size()});
    return value == nullptr ? nullptr : value->if_array();
}

std::optional<std::string> bytes_at(const json::object& object, std::string_view name)
{
    const json::value* value = object.if_contains({name.data(), name.size()});
    if (value == nullptr || !value->is_string()) {
        return std::string();
    }
    return from_base64({value->get_string().data(), value->get_string().size()});
}

/// Reads one key and value; empty when it lies outside the prefix.
std::optional<config_record> read_record(const json::object& object, const std::string& prefix)
{
    const std::optional<std::string> key = bytes_at(object, "key");
    const std::optional<std::string> value = bytes_at(object, "value");
    if (!key || !value || !key->starts_with(prefix)) {
        return fail("a record of the store is malformed");
    }
    return config_record{key->substr(prefix.size()), revision(number_field(object, "mod_revision")),
                         *value};
}

json::object encode_comparison(const std::string& key, revision expected)
{
    return {{"key", key},
            {"target", "MOD"},
            {"result", "EQUAL"},
            {"mod_revision", std::to_string(expected.get())}};
}

std::string encode_swap(const store_swap& swap, const std::string& prefix)
{
    const std::string key = to_base64(prefix + swap.m_key);
    json::object change;
    if (swap.m_value.empty()) {
        change["request_delete_range"] = json::object{{"key", key}};
    }
    else {
        json::object put{{"key", key}, {"value", to_base64(swap.m_value)}};
        if (swap.m_lease != lease_id{}) {
            put["lease"] = std::to_string(swap.m_lease.get());
        }
        change["request_put"] = std::move(put);
    }
    json::array compares;
    compares.emplace_back(encode_comparison(key, swap.m_expected));
    if (!swap.m_guard_key.empty()) {
        compares.emplace_back(
            encode_comparison(to_base64(prefix + swap.m_guard_key), swap.m_guard_revision));
    }
    const json::object body{
        {"compare", std::move(compares)},
        {"success", json::array{std::move(change)}},
        {"failure", json::array{json::object{{"request_range", json::object{{"key", key}}}}}}};
    return json::serialize(body);
}

config_record first_record(const json::object& range, const std::string& prefix)
{
    const json::array* records = array_at(range, "kvs");
    if (records == nullptr || records->empty() || !records->front().is_object()) {
        return {};
    }
    return read_record(records->front().get_object(), prefix).value_or(config_record{});
}

void decode_swap(const json::object& answer, const store_swap& swap, const std::string& prefix,
                 store_result& result)
{
    const json::value* succeeded = answer.if_contains("succeeded");
    const json::object* header = object_at(answer, "header");
    if (header == nullptr) {
        return;
    }
    if (succeeded != nullptr && succeeded->is_bool() && succeeded->get_bool()) {
        result.m_outcome = store_outcome::done;
        result.m_record = {swap.m_key, revision(number_field(*header, "revision")), swap.m_value};
        return;
    }
    const json::array* responses = array_at(answer, "responses");
    if (responses == nullptr || responses->empty() || !responses->front().is_object()) {
        return;
    }
    const json::object* range = object_at(responses->front().get_object(), "response_range");
    if (range == nullptr) {
        return;
    }
    result.m_outcome = store_outcome::refused;
    result.m_record = first_record(*range, prefix);
    result.m_record.m_key = swap.m_key;
}

etcd_request encode_read_changes(const store_read_changes& wanted, const std::string& prefix)
{
    const std::string first = prefix + wanted.m_prefix;
    return {"/v3/kv/range", json::serialize(json::object{
                                {"key", to_base64(first)},
                                {"range_end", to_base64(end_of_prefix(first))},
                                {"limit", std::to_string(page_records)},
                                {"sort_order", "ASCEND"},
                                {"sort_target", "MOD"},
                                {"min_mod_revision", std::to_string(wanted.m_since.get() + 1)}})};
}

/// A full page shows changes up to its last record, any other up to the store's position.
void decode_changes(std::string_view body, const std::string& prefix, store_result& result)
{
    std::optional<store_update> update = decode_range(body, prefix);
    if (!update) {
        return;
    }
    result.m_outcome = store_outcome::done;
    const bool full = update->m_records.size() == page_records;
    result.m_more = full;
    result.m_position = full ? update->m_records.back().m_revision : update->m_revision;
    result.m_records = std::move(update->m_records);
}

void decode_lease(const json::object& answer, const char* name, store_result& result)
{
    const std::int64_t lifetime = number_field(answer, "TTL");
    result.m_lease = lease_id(number_field(answer, name));
    result.m_outcome = lifetime > 0 ? store_outcome::done : store_outcome::refused;
}

} // namespace

etcd_request encode_call(const store_call& call, const std::string& prefix)
{
    if (const auto* read = std::get_if<store_read>(&call.m_operation)) {
        return {"/v3/kv/range",
                json::serialize(json::object{{"key", to_base64(prefix + read->m_key)}})};
    }
    if (const auto* changes = std::get_if<store_read_changes>(&call.m_operation)) {
        return encode_read_changes(*changes, prefix);
    }
    if (const auto* swap = std::get_if<store_swap>(&call.m_operation)) {
        return {"/v3/kv/txn", encode_swap(*swap, prefix)};
    }
    if (const auto* grant = std::get_if<store_grant_lease>(&call.m_operation)) {
        return {"/v3/lease/grant",
                json::serialize(json::object{{"TTL", std::to_string(grant->m_seconds)}})};
    }
    if (const auto* keep = std::get_if<store_keep_lease>(&call.m_operation)) {
        return {"/v3/lease/keepalive",
                json::serialize(json::object{{"ID", std::to_string(keep->m_lease.get())}})};
    }
    if (const auto* revoke = std::get_if<store_revoke_lease>(&call.m_operation)) {
        return {"/v3/lease/revoke",
                json::serialize(json::object{{"ID", std::to_string(revoke->m_lease.get())}})};
    }
    return {};
}

store_result decode_result(const store_call& call, std::string_view body, const std::string& prefix)
{
    store_result result;
    result.m_number = call.m_number;
    const std::optional<json::object> answer = parse_json_object(body);
    if (!answer) {
        return result;
    }
    if (const auto* read = std::get_if<store_read>(&call.m_operation)) {
        if (object_at(*answer, "header") != nullptr) {
            result.m_outcome = store_outcome::done;
            result.m_record = first_record(*answer, prefix);
            result.m_record.m_key = read->m_key;
        }
    }
    else if (std::holds_alternative<store_read_changes>(call.m_operation)) {
        decode_changes(body, prefix, result);
    }
    else if (const auto* swap = std::get_if<store_swap>(&call.m_operation)) {
        decode_swap(*answer, *swap, prefix, result);
    }
    else if (std::holds_alternative<store_grant_lease>(call.m_operation)) {
        decode_lease(*answer, "ID", result);
    }
    else if (std::holds_alternative<store_keep_lease>(call.m_operation)) {
        const json::object* kept = object_at(*answer, "result");
        if (kept != nullptr) {
            decode_lease(*kept, "ID", result);
        }
    }
    else if (std::holds_alternative<store_revoke_lease>(call.m_operation)) {
        result.m_outcome = store_outcome::done;
    }
    return result;
}

etcd_request encode_read_page(const std::string& prefix, const std::string& after,
                              revision position)
{
    const std::string first = after.empty() ? prefix : prefix + after + '\0';
    json::object body{{"key", to_base64(first)},
                      {"range_end", to_base64(end_of_watched(prefix))},
                      {"limit", std::to_string(page_records)}};
    if (position != revision{}) {
        body["revision"] = std::to_string(position.get());
    }
    return {"/v3/kv/range", json::serialize(body)};
}

etcd_request encode_read_newest(const std::string& prefix)
{
    return {"/v3/kv/range",
            json::serialize(json::object{{"key", to_base64(prefix)},
                                         {"range_end", to_base64(end_of_watched(prefix))},
                                         {"limit", "1"},
                                         {"sort_order", "DESCEND"},
                                         {"sort_target", "MOD"},
                                         {"keys_only", true}})};
}

std::optional<store_update> decode_range(std::string_view body, const std::string& prefix)
{
    const std::optional<json::object> answer = parse_json_object(body);
    if (!answer) {
        return std::nullopt;
    }
    const json::object* header = object_at(*answer, "header");
    if (header == nullptr) {
        return fail("the store's answer has no header");
    }
    store_update update;
    update.m_revision = revision(number_field(*header, "revision"));
    const json::array* records = array_at(*answer, "kvs");
    if (records == nullptr) {
        return update;
    }
    for (const json::value& entry : *records) {
        if (!entry.is_object()) {
            return fail("a record of the store is malformed");
        }
        std::optional<config_record> record = read_record(entry.get_object(), prefix);
        if (!record) {
            return std::nullopt;
        }
        update.m_records.push_back(std::move(*record));
    }
    return update;
}

etcd_request encode_watch(const std::string& prefix, revision from)
{
    const json::object create{{"key", to_base64(prefix)},
                              {"range_end", to_base64(end_of_watched(prefix))},
                              {"start_revision", std::to_string(from.get())}};
    return {"/v3/watch", json::serialize(json::object{{"create_request", create}})};
}

std::optional<store_update> decode_watch_line(std::string_view line, const std::string& prefix)
{
    const std::optional<json::object> answer = parse_json_object(line);
    if (!answer) {
        return std::nullopt;
    }
    const json::object* result = object_at(*answer, "result");
    const json::object* header = result == nullptr ? nullptr : object_at(*result, "header");
    if (header == nullptr || result->contains("canceled")) {
        return fail("the store ended the watch");
    }
    store_update update;
    update.m_revision = revision(number_field(*header, "revision"));
    const json::array* events = array_at(*result, "events");
    if (events == nullptr) {
        return update;
    }
    for (const json::value& entry : *events) {
        const json::object* event = entry.if_object();
        const json::object* fields = event == nullptr ? nullptr : object_at(*event, "kv");
        if (fields == nullptr) {
            return fail("an event of the store is malformed");
        }
        std::optional<config_record> record = read_record(*fields, prefix);
        if (!record) {
            return std::nullopt;
        }
        const json::value* type = event->if_contains("type");
        if (type != nullptr && type->is_string() && type->get_string() == "DELETE") {
            record->m_value.clear();
        }
        update.m_records.push_back(std::move(*record));
    }
    return update;
}

} // namespace guavabay
