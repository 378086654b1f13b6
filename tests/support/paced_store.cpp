#include "support/paced_store.h"

#include <algorithm>
#include <boost/json.hpp>
#include <sstream>

#include "core/json_fields.h"
#include "net/base64.h"
#include "net/http_status.h"

namespace guavabay::test {

namespace json = boost::json;

namespace {

/// Size of the pieces in which a paced answer is sent.
constexpr std::size_t piece_bytes = 4096;

/// Interval at which a waiting watch looks for changes.
constexpr milliseconds watch_poll_interval{2};

/// Records on one page of a range, and bytes of their values.
constexpr std::size_t page_items = 500;
constexpr std::size_t page_bytes = 1U << 20U;

/// Largest value of a record, in bytes.
constexpr std::size_t max_value_bytes = 1U << 20U;

asio::awaitable<void> wait_for(asio::io_context& context, duration length)
{
    asio::steady_timer timer(context, length);
    error_code ignored;
    co_await timer.async_wait(to_coroutine(ignored));
}

/// Reads the parameters of a query; values hold no escapes but that of the slash.
std::map<std::string, std::string> parse_query(const std::string& target)
{
    std::map<std::string, std::string> parameters;
    std::istringstream text(target.substr(std::min(target.size(), target.find('?') + 1)));
    std::string pair;
    while (std::getline(text, pair, '&')) {
        const std::size_t equals = pair.find('=');
        parameters[pair.substr(0, equals)] =
            equals == std::string::npos ? "" : pair.substr(equals + 1);
    }
    return parameters;
}

std::int64_t to_number(const std::string& text)
{
    return text.empty() ? 0 : std::stoll(text);
}

} // namespace

paced_store::paced_store(asio::io_context& context)
    : m_context(context), m_acceptor(context, {asio::ip::make_address("127.0.0.1"), 0})
{
    asio::co_spawn(m_context, accept(), asio::detached);
}

ip_address paced_store::address() const
{
    const auto endpoint = m_acceptor.local_endpoint();
    return {endpoint.address(), endpoint.port()};
}

revision paced_store::put(const std::string& key, std::string value)
{
    return write(key, std::move(value), lease_id(), false);
}

revision paced_store::remove(const std::string& key)
{
    return write(key, {}, lease_id(), true);
}

std::size_t paced_store::copies_sent(const std::string& key) const
{
    const auto found = m_copies.find(key);
    return found == m_copies.end() ? 0 : found->second;
}

std::vector<std::string> paced_store::values(const std::string& prefix) const
{
    std::vector<std::string> found;
    for (const auto& [key, item] : m_items) {
        if (key.starts_with(prefix)) {
            found.push_back(item.m_value);
        }
    }
    return found;
}

revision paced_store::write(const std::string& key, std::string value, lease_id lease, bool removed)
{
    store_item item;
    item.m_key = key;
    item.m_value = std::move(value);
    item.m_revision = revision(++m_revision);
    const auto known = m_items.find(key);
    item.m_created = known == m_items.end() ? item.m_revision : known->second.m_created;
    item.m_lease = lease;
    item.m_removed = removed;
    if (removed) {
        m_items.erase(key);
    }
    else {
        m_items[key] = item;
    }
    m_history.push_back(std::move(item));
    return revision(m_revision);
}

json::object paced_store::encode_item(const store_item& item)
{
    json::object object{{"key", item.m_key}, {"revision", item.m_revision.get()}};
    if (item.m_removed) {
        object["deleted"] = true;
        return object;
    }
    ++m_copies[item.m_key];
    object["value"] = to_base64(item.m_value);
    object["created"] = item.m_created.get();
    object["lease"] = item.m_lease.get();
    return object;
}

json::object paced_store::read_range(const std::string& prefix, const std::string& after)
{
    json::array items;
    bool has_more = false;
    std::size_t bytes = 0;
    for (const auto& [key, item] : m_items) {
        if (!key.starts_with(prefix) || key <= after) {
            continue;
        }
        bytes += item.m_value.size();
        if (items.size() == page_items || (bytes > page_bytes && !items.empty())) {
            has_more = true;
            break;
        }
        items.push_back(encode_item(item));
    }
    return {{"items", std::move(items)}, {"has-more", has_more}, {"as-of", m_revision}};
}

asio::awaitable<json::object> paced_store::watch(std::string prefix, std::int64_t after,
                                                 milliseconds wait)
{
    const time_point end = read_clock() + wait;
    json::array events;
    while (true) {
        for (const store_item& item : m_history) {
            if (item.m_revision.get() > after && item.m_key.starts_with(prefix)) {
                events.push_back(encode_item(item));
            }
        }
        if (!events.empty() || read_clock() >= end) {
            break;
        }
        co_await wait_for(m_context, watch_poll_interval);
    }
    json::object result{{"events", std::move(events)}, {"as-of", m_revision}};
    co_return result;
}

unsigned paced_store::commit(const json::object& body, json::object& result)
{
    json::array items;
    bool holds = true;
    for (const json::value& guard : body.at("expected-rev").as_array()) {
        const auto known = m_items.find(text_field(guard.as_object(), "key"));
        const std::int64_t current = known == m_items.end() ? 0 : known->second.m_revision.get();
        holds = holds && current == number_field(guard.as_object(), "revision");
        if (known != m_items.end()) {
            items.push_back(encode_item(known->second));
        }
    }
    if (!holds) {
        result["items"] = std::move(items);
        return http_status::precondition_failed;
    }
    for (const json::value& put : body.at("puts").as_array()) {
        if (from_base64(text_field(put.as_object(), "value")).value().size() > max_value_bytes) {
            return http_status::bad_request;
        }
    }
    for (const json::value& put : body.at("puts").as_array()) {
        const json::object& fields = put.as_object();
        write(text_field(fields, "key"), from_base64(text_field(fields, "value")).value(),
              lease_id(number_field(fields, "lease")), false);
    }
    for (const json::value& key : body.at("remove").as_array()) {
        write(std::string(key.as_string()), {}, lease_id(), true);
    }
    result["revision"] = m_revision;
    return http_status::ok;
}

asio::awaitable<http::response<http::string_body>>
paced_store::answer(http::request<http::string_body> request)
{
    const std::string target(request.target());
    std::map<std::string, std::string> query = parse_query(target);
    http::response<http::string_body> response;
    response.keep_alive(true);
    json::object body;
    unsigned status = http_status::ok;
    if (m_refuse_status != 0) {
        status = m_refuse_status;
    }
    else if (target.starts_with("/v1/kv-range")) {
        body = read_range(query["prefix"], query["after"]);
    }
    else if (target.starts_with("/v1/kv-watch")) {
        body = co_await watch(query["prefix"], to_number(query["after"]),
                              milliseconds(to_number(query["wait-ms"])));
    }
    else if (target.starts_with("/v1/kv-txn")) {
        const json::object wanted = parse_json_object(request.body()).value();
        if (m_refuse_removals > 0 && !wanted.at("remove").as_array().empty()) {
            --m_refuse_removals;
            status = http_status::unavailable;
        }
        else {
            status = commit(wanted, body);
        }
    }
    else if (target.starts_with("/v1/kv-lease-end") || target.starts_with("/v1/kv-keep")) {
        body["ttl-ms"] = 0;
    }
    else if (target.starts_with("/v1/kv-lease")) {
        const json::object wanted = parse_json_object(request.body()).value();
        body["lease"] = m_next_lease++;
        body["ttl-ms"] = number_field(wanted, "ttl-ms");
    }
    else {
        status = http_status::not_found;
    }
    response.result(status);
    response.body() = json::serialize(body);
    response.prepare_payload();
    co_return response;
}

asio::awaitable<bool> paced_store::send(asio::ip::tcp::socket& socket, std::string bytes)
{
    error_code error;
    const std::size_t end = m_stall ? bytes.size() / 2 : bytes.size();
    for (std::size_t sent = 0; sent < end && !error; sent += piece_bytes) {
        const std::size_t length = std::min(piece_bytes, end - sent);
        if (m_bytes_per_s != 0) {
            const duration taken(static_cast<std::int64_t>(length) * duration::period::den /
                                 static_cast<std::int64_t>(m_bytes_per_s));
            m_link_free_at = std::max(m_link_free_at, read_clock()) + taken;
            co_await wait_for(m_context, m_link_free_at - read_clock());
        }
        co_await asio::async_write(socket, asio::buffer(bytes.data() + sent, length),
                                   to_coroutine(error));
    }
    if (m_stall && !error) {
        char byte = 0;
        co_await socket.async_read_some(asio::buffer(&byte, 1), to_coroutine(error));
        co_return false;
    }
    co_return !error;
}

asio::awaitable<void> paced_store::serve(asio::ip::tcp::socket socket, std::size_t number)
{
    error_code error;
    socket.set_option(asio::ip::tcp::no_delay(true), error);
    beast::flat_buffer buffer;
    while (true) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(boost::none);
        co_await http::async_read(socket, buffer, parser, to_coroutine(error));
        if (error) {
            co_return;
        }
        http::request<http::string_body> request = parser.release();
        if (number < m_first_live) {
            continue;
        }
        const bool is_commit = request.target().starts_with("/v1/kv-txn");
        const http::response<http::string_body> response = co_await answer(std::move(request));
        if (is_commit && m_lose_answers > 0) {
            --m_lose_answers;
            co_return;
        }
        if (number < m_first_live) {
            continue;
        }
        std::ostringstream text;
        text << response;
        if (!co_await send(socket, text.str())) {
            co_return;
        }
    }
}

asio::awaitable<void> paced_store::accept()
{
    while (true) {
        error_code error;
        asio::ip::tcp::socket socket = co_await m_acceptor.async_accept(to_coroutine(error));
        if (error) {
            co_return;
        }
        asio::co_spawn(m_context, serve(std::move(socket), m_connections++), asio::detached);
    }
}

} // namespace guavabay::test
