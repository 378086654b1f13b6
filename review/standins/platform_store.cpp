#include "platform_store.h"

#include <boost/beast/core/detail/base64.hpp>
#include <boost/json.hpp>

namespace review {

namespace json = boost::json;
namespace base64 = boost::beast::detail::base64;

namespace {

constexpr milliseconds expiry_interval{10};
constexpr milliseconds watch_poll_interval{4};
constexpr std::size_t max_page = 500;

std::string to_base64(const std::string& bytes)
{
    std::string text(base64::encoded_size(bytes.size()), '\0');
    text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

std::string from_base64(const std::string& text)
{
    std::string bytes(base64::decoded_size(text.size()), '\0');
    bytes.resize(base64::decode(bytes.data(), text.data(), text.size()).first);
    return bytes;
}

std::string text_of(const json::object& object, const char* name)
{
    const json::value* value = object.if_contains(name);
    return value != nullptr && value->is_string() ? std::string(value->get_string()) : "";
}

std::int64_t number_of(const json::object& object, const char* name)
{
    const json::value* value = object.if_contains(name);
    return value != nullptr && value->is_number() ? value->to_number<std::int64_t>() : 0;
}

json::array list_of(const json::object& object, const char* name)
{
    const json::value* value = object.if_contains(name);
    return value != nullptr && value->is_array() ? value->get_array() : json::array();
}

template <typename Item>
json::object to_json(const Item& item)
{
    if (item.m_deleted) {
        return {{"key", item.m_key}, {"revision", item.m_revision}, {"deleted", true}};
    }
    return {{"key", item.m_key},
            {"value", to_base64(item.m_value)},
            {"revision", item.m_revision},
            {"created", item.m_created},
            {"lease", item.m_lease}};
}

std::string query(const http_request& request, const char* name)
{
    const auto found = request.m_query.find(name);
    return found == request.m_query.end() ? "" : found->second;
}

} // namespace

platform_store::platform_store(asio::io_context& context)
    : m_context(context),
      m_server(context, [this](http_request request) { return handle(std::move(request)); })
{
    m_server.open();
    asio::co_spawn(m_context, expire_leases(), asio::detached);
}

void platform_store::set_down(bool down)
{
    if (m_down && !down) {
        for (auto& [id, each] : m_leases) {
            each.m_ends_at += steady::now() - m_down_since;
        }
    }
    m_down = down;
    m_down_since = steady::now();
}

void platform_store::put(const std::string& key, const std::string& value)
{
    if (!m_down) {
        write(key, value, 0, ++m_revision);
    }
}

std::string platform_store::value(const std::string& key) const
{
    const auto found = m_items.find(key);
    return found == m_items.end() ? "" : found->second.m_value;
}

std::size_t platform_store::count(const std::string& prefix) const
{
    std::size_t number = 0;
    for (auto it = m_items.lower_bound(prefix);
         it != m_items.end() && it->first.starts_with(prefix); ++it) {
        ++number;
    }
    return number;
}

void platform_store::write(const std::string& key, const std::string& value, std::int64_t lease,
                           std::int64_t revision)
{
    item& stored = m_items[key];
    stored.m_key = key;
    stored.m_value = value;
    stored.m_revision = revision;
    stored.m_created = stored.m_created == 0 ? revision : stored.m_created;
    stored.m_lease = lease;
    m_history.push_back(stored);
}

void platform_store::remove(const std::string& key, std::int64_t revision)
{
    if (m_items.erase(key) > 0) {
        item gone;
        gone.m_key = key;
        gone.m_revision = revision;
        gone.m_deleted = true;
        m_history.push_back(gone);
    }
}

void platform_store::end_lease(std::int64_t id)
{
    std::vector<std::string> keys;
    for (const auto& [key, stored] : m_items) {
        if (stored.m_lease == id) {
            keys.push_back(key);
        }
    }
    for (const std::string& key : keys) {
        remove(key, ++m_revision);
    }
    m_leases.erase(id);
}

asio::awaitable<void> platform_store::expire_leases()
{
    while (true) {
        co_await pause_for(m_context, expiry_interval);
        std::vector<std::int64_t> ended;
        for (const auto& [id, each] : m_leases) {
            if (!m_down && each.m_ends_at < steady::now()) {
                ended.push_back(id);
            }
        }
        for (const std::int64_t id : ended) {
            end_lease(id);
        }
    }
}

http_reply platform_store::read_range(const http_request& request) const
{
    const std::string prefix = query(request, "prefix");
    const std::string after = query(request, "after");
    json::array items;
    bool more = false;
    for (auto it = m_items.lower_bound(prefix);
         it != m_items.end() && it->first.starts_with(prefix); ++it) {
        if (!after.empty() && it->first <= after) {
            continue;
        }
        if (items.size() == max_page) {
            more = true;
            break;
        }
        items.emplace_back(to_json(it->second));
    }
    const json::object body{{"items", std::move(items)}, {"has-more", more}, {"as-of", m_revision}};
    return {200, json::serialize(body)};
}

asio::awaitable<std::optional<http_reply>> platform_store::watch(http_request request)
{
    const std::string prefix = query(request, "prefix");
    const std::int64_t after = std::stoll(query(request, "after"));
    const auto end = steady::now() + milliseconds(std::stoll(query(request, "wait-ms")));
    while (true) {
        if (m_down) {
            co_return http_reply{503, "{}"};
        }
        json::array events;
        for (const item& each : m_history) {
            if (each.m_revision > after && each.m_key.starts_with(prefix)) {
                events.emplace_back(to_json(each));
            }
        }
        if (!events.empty() || steady::now() >= end) {
            const json::object body{{"events", std::move(events)}, {"as-of", m_revision}};
            co_return http_reply{200, json::serialize(body)};
        }
        co_await pause_for(m_context, watch_poll_interval);
    }
}

http_reply platform_store::commit(const std::string& body)
{
    const json::object request = json::parse(body).as_object();
    bool holds = true;
    json::array current;
    for (const json::value& guard : list_of(request, "expected-rev")) {
        const std::string key = text_of(guard.as_object(), "key");
        const auto found = m_items.find(key);
        const std::int64_t revision = found == m_items.end() ? 0 : found->second.m_revision;
        holds = holds && revision == number_of(guard.as_object(), "revision");
        if (found != m_items.end()) {
            current.emplace_back(to_json(found->second));
        }
    }
    if (!holds) {
        return {412, json::serialize(json::object{{"items", std::move(current)}})};
    }
    const json::array puts = list_of(request, "puts");
    for (const json::value& put : puts) {
        const std::int64_t lease = number_of(put.as_object(), "lease");
        if (lease != 0 && !m_leases.contains(lease)) {
            return {404, "{}"};
        }
    }
    ++m_revision;
    for (const json::value& put : puts) {
        write(text_of(put.as_object(), "key"), from_base64(text_of(put.as_object(), "value")),
              number_of(put.as_object(), "lease"), m_revision);
    }
    for (const json::value& key : list_of(request, "remove")) {
        remove(std::string(key.as_string()), m_revision);
    }
    return {200, json::serialize(json::object{{"revision", m_revision}})};
}

http_reply platform_store::grant_lease(const std::string& body)
{
    const milliseconds ttl(number_of(json::parse(body).as_object(), "ttl-ms"));
    const std::int64_t id = m_next_lease++;
    m_leases[id] = {ttl, steady::now() + ttl};
    return {200, json::serialize(json::object{{"lease", id}, {"ttl-ms", ttl.count()}})};
}

asio::awaitable<std::optional<http_reply>> platform_store::handle(http_request request)
{
    if (m_down) {
        co_return http_reply{503, "{}"};
    }
    std::optional<http_reply> reply = co_await serve(std::move(request));
    co_await pause_for(m_context, m_delay);
    co_return reply;
}

asio::awaitable<std::optional<http_reply>> platform_store::serve(http_request request)
{
    const std::string& path = request.m_path;
    const std::string keep = "/v1/kv-keep/";
    const std::string end = "/v1/kv-lease-end/";
    if (path == "/v1/kv-range") {
        co_return read_range(request);
    }
    if (path == "/v1/kv-watch") {
        co_return co_await watch(std::move(request));
    }
    if (path == "/v1/kv-txn") {
        co_return commit(request.m_body);
    }
    if (path == "/v1/kv-lease") {
        co_return grant_lease(request.m_body);
    }
    if (path.starts_with(keep)) {
        const auto found = m_leases.find(std::stoll(path.substr(keep.size())));
        if (found == m_leases.end()) {
            co_return http_reply{404, "{}"};
        }
        found->second.m_ends_at = steady::now() + found->second.m_ttl;
        co_return http_reply{200, "{}"};
    }
    if (path.starts_with(end)) {
        end_lease(std::stoll(path.substr(end.size())));
        co_return http_reply{200, "{}"};
    }
    co_return http_reply{404, "{}"};
}

} // namespace review
