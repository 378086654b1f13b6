#include "store_table.h"

#include <algorithm>

#include "core/json_fields.h"
#include "net/base64.h"

namespace standins {

namespace json = boost::json;

namespace {

std::string bytes_at(const json::object& object, const char* name)
{
    return guavabay::from_base64(guavabay::text_field(object, name)).value_or("");
}

bool within(const std::string& key, const std::string& first, const std::string& end)
{
    return end.empty() ? key == first : key >= first && key < end;
}

} // namespace

json::object store_table::header() const
{
    return {{"revision", std::to_string(m_revision)}};
}

json::object store_table::describe(const std::string& key, const record& one, bool with_value)
{
    json::object object{{"key", guavabay::to_base64(key)},
                        {"create_revision", std::to_string(one.m_created)},
                        {"mod_revision", std::to_string(one.m_modified)},
                        {"version", std::to_string(one.m_version)}};
    if (with_value) {
        object["value"] = guavabay::to_base64(one.m_value);
    }
    return object;
}

json::object store_table::range(const json::object& request) const
{
    const std::string first = bytes_at(request, "key");
    const std::string end = bytes_at(request, "range_end");
    const bool keys_only = request.contains("keys_only");
    const std::int64_t oldest = guavabay::number_field(request, "min_mod_revision");
    std::vector<const std::pair<const std::string, record>*> found;
    const auto begin = m_records.lower_bound(first);
    const auto stop = end.empty() ? m_records.upper_bound(first) : m_records.lower_bound(end);
    for (auto it = begin; it != stop; ++it) {
        if (it->second.m_modified >= oldest) {
            found.push_back(&*it);
        }
    }
    const auto limit = static_cast<std::size_t>(guavabay::number_field(request, "limit"));
    const std::size_t total = found.size();
    const std::size_t shown = limit == 0 ? total : std::min(limit, total);
    if (guavabay::text_field(request, "sort_target") == "MOD") {
        const bool newest_first = guavabay::text_field(request, "sort_order") == "DESCEND";
        std::partial_sort(found.begin(), found.begin() + static_cast<std::ptrdiff_t>(shown),
                          found.end(), [newest_first](const auto* left, const auto* right) {
                              return newest_first
                                         ? left->second.m_modified > right->second.m_modified
                                         : left->second.m_modified < right->second.m_modified;
                          });
    }
    json::array records;
    for (std::size_t i = 0; i < shown; ++i) {
        records.push_back(describe(found[i]->first, found[i]->second, !keys_only));
    }
    return {{"header", header()}, {"kvs", std::move(records)}, {"count", std::to_string(total)}};
}

void store_table::write(const json::object& request)
{
    ++m_revision;
    const std::string key = bytes_at(request, "key");
    record& one = m_records[key];
    one.m_value = bytes_at(request, "value");
    one.m_created = one.m_created == 0 ? m_revision : one.m_created;
    one.m_modified = m_revision;
    ++one.m_version;
    one.m_lease = guavabay::number_field(request, "lease");
    m_changes.push_back({m_revision, key, {{"kv", describe(key, one, true)}}});
}

json::object store_table::put(const json::object& request)
{
    write(request);
    return {{"header", header()}};
}

json::object store_table::transact(const json::object& request)
{
    bool holds = true;
    for (const json::value& entry : request.at("compare").as_array()) {
        const json::object& compare = entry.as_object();
        const auto found = m_records.find(bytes_at(compare, "key"));
        const std::int64_t modified = found == m_records.end() ? 0 : found->second.m_modified;
        holds = holds && modified == guavabay::number_field(compare, "mod_revision");
    }
    json::array responses;
    for (const json::value& entry : request.at(holds ? "success" : "failure").as_array()) {
        const json::object& operation = entry.as_object();
        if (const json::value* put_request = operation.if_contains("request_put")) {
            const json::object& wanted = put_request->as_object();
            const std::int64_t lease_id = guavabay::number_field(wanted, "lease");
            if (lease_id != 0 && !m_leases.contains(lease_id)) {
                return {{"error", "requested lease not found"}, {"code", 5}};
            }
            write(wanted);
            responses.emplace_back(
                json::object{{"response_put", json::object{{"header", header()}}}});
        }
        if (const json::value* removal = operation.if_contains("request_delete_range")) {
            remove(bytes_at(removal->as_object(), "key"));
            responses.emplace_back(
                json::object{{"response_delete_range", json::object{{"header", header()}}}});
        }
        if (const json::value* read = operation.if_contains("request_range")) {
            responses.emplace_back(json::object{{"response_range", range(read->as_object())}});
        }
    }
    json::object answer{{"header", header()}, {"responses", std::move(responses)}};
    if (holds) {
        answer["succeeded"] = true;
    }
    return answer;
}

json::object store_table::grant(const json::object& request, std::int64_t now_ms)
{
    const std::int64_t lifetime = guavabay::number_field(request, "TTL") * 1000;
    const std::int64_t id = m_next_lease++;
    m_leases[id] = {lifetime, now_ms + lifetime};
    return {
        {"header", header()}, {"ID", std::to_string(id)}, {"TTL", std::to_string(lifetime / 1000)}};
}

json::object store_table::keep(const json::object& request, std::int64_t now_ms)
{
    const std::int64_t id = guavabay::number_field(request, "ID");
    const auto found = m_leases.find(id);
    json::object result{{"header", header()}, {"ID", std::to_string(id)}};
    if (found != m_leases.end()) {
        found->second.m_until_ms = now_ms + found->second.m_lifetime_ms;
        result["TTL"] = std::to_string(found->second.m_lifetime_ms / 1000);
    }
    return {{"result", std::move(result)}};
}

json::object store_table::revoke(const json::object& request)
{
    remove_lease(guavabay::number_field(request, "ID"));
    return {{"header", header()}};
}

void store_table::remove(const std::string& key)
{
    if (m_records.erase(key) == 0) {
        return;
    }
    ++m_revision;
    json::object kv{{"key", guavabay::to_base64(key)},
                    {"mod_revision", std::to_string(m_revision)}};
    m_changes.push_back({m_revision, key, {{"type", "DELETE"}, {"kv", std::move(kv)}}});
}

void store_table::remove_lease(std::int64_t id)
{
    m_leases.erase(id);
    std::vector<std::string> keys;
    for (const auto& [key, one] : m_records) {
        if (one.m_lease == id) {
            keys.push_back(key);
        }
    }
    for (const std::string& key : keys) {
        remove(key);
    }
}

void store_table::expire(std::int64_t now_ms)
{
    std::vector<std::int64_t> lapsed;
    for (const auto& [id, one] : m_leases) {
        if (one.m_until_ms <= now_ms) {
            lapsed.push_back(id);
        }
    }
    for (const std::int64_t id : lapsed) {
        remove_lease(id);
    }
}

void store_table::expire_all()
{
    while (!m_leases.empty()) {
        remove_lease(m_leases.begin()->first);
    }
}

std::vector<store_table::change> store_table::changes_since(std::int64_t revision,
                                                            const std::string& key,
                                                            const std::string& range_end) const
{
    const std::string first = guavabay::from_base64(key).value_or("");
    const std::string end = guavabay::from_base64(range_end).value_or("");
    const auto begin = std::lower_bound(
        m_changes.begin(), m_changes.end(), revision,
        [](const change& one, std::int64_t wanted) { return one.m_revision < wanted; });
    std::vector<change> found;
    std::copy_if(begin, m_changes.end(), std::back_inserter(found),
                 [&](const change& one) { return within(one.m_key, first, end); });
    return found;
}

} // namespace standins
