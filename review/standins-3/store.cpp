#include "store.h"

namespace review {

namespace {

constexpr milliseconds answer_time{4};
constexpr milliseconds poll_interval{2};
constexpr milliseconds expiry_interval{10};

} // namespace

store::store(asio::io_context& context)
    : m_context(context),
      m_server(context, [this](request asked) { return answer(std::move(asked)); })
{
}

void store::start()
{
    m_server.start();
    asio::co_spawn(m_context, expire_leases(), asio::detached);
}

void store::put(const std::string& key, const std::string& value)
{
    write(key, value, 0, ++m_revision);
}

void store::remove(const std::string& key)
{
    if (m_items.contains(key)) {
        erase(key, ++m_revision);
    }
}

std::string store::get(const std::string& key) const
{
    const auto found = m_items.find(key);
    return found == m_items.end() ? std::string() : found->second.m_value;
}

json::object store::encode(const std::string& key, const item& what) const
{
    return {{"key", key},
            {"value", to_base64(what.m_value)},
            {"revision", what.m_revision},
            {"created", what.m_created},
            {"lease", what.m_lease}};
}

void store::write(const std::string& key, const std::string& value, std::int64_t lease,
                  std::int64_t revision)
{
    item& written = m_items[key];
    written.m_value = value;
    written.m_revision = revision;
    written.m_created = written.m_created == 0 ? revision : written.m_created;
    written.m_lease = lease;
    m_history.push_back({key, revision, encode(key, written)});
}

void store::erase(const std::string& key, std::int64_t revision)
{
    m_items.erase(key);
    m_history.push_back({key, revision, {{"key", key}, {"revision", revision}, {"deleted", true}}});
}

void store::end_lease(std::int64_t lease)
{
    m_leases.erase(lease);
    std::vector<std::string> ended;
    for (const auto& [key, what] : m_items) {
        if (what.m_lease == lease) {
            ended.push_back(key);
        }
    }
    for (const std::string& key : ended) {
        erase(key, ++m_revision);
    }
}

asio::awaitable<void> store::expire_leases()
{
    while (true) {
        co_await pause_for(expiry_interval);
        std::vector<std::int64_t> ended;
        for (const auto& [lease, state] : m_leases) {
            if (state.second < steady::now()) {
                ended.push_back(lease);
            }
        }
        for (const std::int64_t lease : ended) {
            end_lease(lease);
        }
    }
}

reply store::read_range(const request& asked) const
{
    const std::string prefix = parameter_of(asked.m_query, "prefix");
    const std::string after = parameter_of(asked.m_query, "after");
    json::array items;
    for (const auto& [key, what] : m_items) {
        if (key.starts_with(prefix) && key > after) {
            items.push_back(encode(key, what));
        }
    }
    return {200, {{"items", std::move(items)}, {"has-more", false}, {"as-of", m_revision}}};
}

asio::awaitable<reply> store::watch(request asked)
{
    const std::string prefix = parameter_of(asked.m_query, "prefix");
    const std::int64_t after = std::stoll("0" + parameter_of(asked.m_query, "after"));
    const milliseconds wait(std::stoll("0" + parameter_of(asked.m_query, "wait-ms")));
    const steady::time_point end = steady::now() + wait;
    json::array events;
    while (true) {
        for (const change& made : m_history) {
            if (made.m_revision > after && made.m_key.starts_with(prefix)) {
                events.push_back(made.m_event);
            }
        }
        if (!events.empty() || steady::now() >= end) {
            co_return reply{200, {{"events", std::move(events)}, {"as-of", m_revision}}};
        }
        co_await pause_for(poll_interval);
    }
}

reply store::commit(const request& asked)
{
    const json::object& body = asked.m_body;
    json::array present;
    bool holds = true;
    for (const json::value& expected : body.at("expected-rev").as_array()) {
        const std::string key = text_of(expected.as_object(), "key");
        const auto found = m_items.find(key);
        const std::int64_t revision = found == m_items.end() ? 0 : found->second.m_revision;
        holds = holds && revision == number_of(expected.as_object(), "revision");
        if (found != m_items.end()) {
            present.push_back(encode(key, found->second));
        }
    }
    if (!holds) {
        return {412, {{"items", std::move(present)}}};
    }
    for (const json::value& put : body.at("puts").as_array()) {
        const std::int64_t lease = number_of(put.as_object(), "lease");
        if (lease != 0 && !m_leases.contains(lease)) {
            return {404, {}};
        }
    }
    const std::int64_t revision = ++m_revision;
    for (const json::value& put : body.at("puts").as_array()) {
        const json::object& fields = put.as_object();
        write(text_of(fields, "key"), from_base64(text_of(fields, "value")),
              number_of(fields, "lease"), revision);
    }
    for (const json::value& removed : body.at("remove").as_array()) {
        const std::string key(removed.as_string());
        if (m_items.contains(key)) {
            erase(key, revision);
        }
    }
    const json::array& puts = body.at("puts").as_array();
    if (m_on_commit && !puts.empty()) {
        const json::object& first = puts.front().as_object();
        m_on_commit(text_of(first, "key"), from_base64(text_of(first, "value")).size());
    }
    return {200, {{"revision", revision}}};
}

asio::awaitable<reply> store::answer(request asked)
{
    co_await pause_for(answer_time);
    if (asked.m_path == "/v1/kv-watch") {
        co_return co_await watch(std::move(asked));
    }
    if (asked.m_path == "/v1/kv-range") {
        co_return read_range(asked);
    }
    if (asked.m_path == "/v1/kv-txn") {
        co_return commit(asked);
    }
    const std::int64_t lease = std::atoll(asked.m_path.substr(asked.m_path.rfind('/') + 1).c_str());
    if (asked.m_path == "/v1/kv-lease") {
        const milliseconds ttl(number_of(asked.m_body, "ttl-ms"));
        const std::int64_t granted = m_next_lease++;
        m_leases[granted] = {ttl, steady::now() + ttl};
        co_return reply{200, {{"lease", granted}, {"ttl-ms", ttl.count()}}};
    }
    if (!m_leases.contains(lease)) {
        co_return reply{404, {}};
    }
    if (asked.m_path.starts_with("/v1/kv-keep/")) {
        m_leases[lease].second = steady::now() + m_leases[lease].first;
        co_return reply{200, {{"ttl-ms", m_leases[lease].first.count()}}};
    }
    end_lease(lease);
    co_return reply{200, {}};
}

} // namespace review
