#include "store/etcd_store.h"

#include "core/check.h"
#include "log/log.h"
#include "store/etcd_codec.h"

namespace guavabay {

namespace {

constexpr std::chrono::milliseconds retry_delay{250};
constexpr std::chrono::milliseconds watch_restart_delay{20};
constexpr std::chrono::milliseconds watch_check_interval{2000};
constexpr std::size_t max_idle_connections = 4;
constexpr std::uint64_t max_answer_bytes = 64ULL << 20U;

http::request<http::string_body> make_request(const std::string& target, std::string body)
{
    http::request<http::string_body> request(http::verb::post, target, 11);
    request.set(http::field::host, "store");
    request.set(http::field::content_type, "application/json");
    request.body() = std::move(body);
    request.prepare_payload();
    return request;
}

} // namespace

etcd_store::etcd_store(asio::io_context& context, store_settings settings, event_handler handler)
    : m_context(context), m_settings(std::move(settings)), m_handler(std::move(handler)),
      m_retry(context)
{
    check(!m_settings.m_addresses.empty(), "a store has an address");
    check(!m_settings.m_prefix.empty(), "a store has a prefix");
}

void etcd_store::start()
{
    asio::co_spawn(m_context, follow(), asio::detached);
}

void etcd_store::call(store_call call)
{
    if (std::holds_alternative<store_resync>(call.m_operation)) {
        if (m_watch_stream) {
            m_watch_stream->cancel();
        }
        return;
    }
    asio::co_spawn(m_context, run_call(std::move(call)), asio::detached);
}

const ip_address& etcd_store::address() const
{
    return m_settings.m_addresses[m_address_turn % m_settings.m_addresses.size()];
}

asio::awaitable<void> etcd_store::follow()
{
    while (true) {
        const bool read = co_await read_all();
        m_handler(store_reachability{read});
        if (read) {
            ++m_generation;
            asio::co_spawn(m_context, check_watch(m_generation), asio::detached);
            co_await watch();
            ++m_generation;
            m_retry.expires_after(watch_restart_delay);
        }
        else {
            ++m_address_turn;
            m_idle.clear();
            m_retry.expires_after(retry_delay);
        }
        error_code ignored;
        co_await m_retry.async_wait(to_coroutine(ignored));
    }
}

asio::awaitable<bool> etcd_store::read_all()
{
    store_update shown;
    shown.m_full = true;
    std::string last_key;
    bool more = true;
    while (more) {
        etcd_request request = encode_read_page(m_settings.m_prefix, last_key, shown.m_revision);
        const std::optional<std::string> body =
            co_await exchange(std::move(request.m_target), std::move(request.m_body));
        std::optional<store_update> page;
        if (body) {
            page = decode_range(*body, m_settings.m_prefix);
        }
        if (!page) {
            log_warning("store: reading failed");
            co_return false;
        }
        if (shown.m_revision == revision{}) {
            shown.m_revision = page->m_revision;
        }
        more = page->m_records.size() == page_records;
        if (more) {
            last_key = page->m_records.back().m_key;
        }
        for (const config_record& record : page->m_records) {
            shown.m_shown.push_back(stable_hash(record.m_key));
        }
        m_handler(std::move(*page));
    }
    m_seen = shown.m_revision;
    std::sort(shown.m_shown.begin(), shown.m_shown.end());
    m_handler(std::move(shown));
    co_return true;
}

asio::awaitable<void> etcd_store::watch()
{
    error_code error;
    m_watch_stream.emplace(m_context);
    tcp_stream& stream = *m_watch_stream;
    stream.expires_after(m_settings.m_call_patience);
    co_await stream.async_connect(address().tcp(), to_coroutine(error));
    if (error) {
        co_return;
    }
    etcd_request wanted = encode_watch(m_settings.m_prefix, revision(m_seen.get() + 1));
    const auto request = make_request(wanted.m_target, std::move(wanted.m_body));
    co_await http::async_write(stream, request, to_coroutine(error));
    beast::flat_buffer buffer;
    http::response_parser<http::buffer_body> parser;
    parser.body_limit(boost::none);
    co_await http::async_read_header(stream, buffer, parser, to_coroutine(error));
    if (error || parser.get().result() != http::status::ok) {
        co_return;
    }
    stream.expires_never();
    std::array<char, 16384> part{};
    std::string pending;
    while (!parser.is_done()) {
        parser.get().body().data = part.data();
        parser.get().body().size = part.size();
        co_await http::async_read_some(stream, buffer, parser, to_coroutine(error));
        if (error && error != http::error::need_buffer) {
            co_return;
        }
        pending.append(part.data(), part.size() - parser.get().body().size);
        std::size_t end = pending.find('\n');
        while (end != std::string::npos) {
            take_watch_line(std::string_view(pending).substr(0, end));
            pending.erase(0, end + 1);
            end = pending.find('\n');
        }
        if (pending.size() > max_answer_bytes) {
            co_return;
        }
    }
}

void etcd_store::take_watch_line(std::string_view line)
{
    std::optional<store_update> update = decode_watch_line(line, m_settings.m_prefix);
    if (!update) {
        log_warning("store: watch ended by the store");
        m_watch_stream->cancel();
        return;
    }
    m_seen = std::max(m_seen, update->m_revision);
    if (!update->m_records.empty()) {
        m_handler(std::move(*update));
    }
}

asio::awaitable<void> etcd_store::check_watch(std::size_t generation)
{
    asio::steady_timer timer(m_context);
    revision missed;
    while (generation == m_generation) {
        timer.expires_after(watch_check_interval);
        error_code ignored;
        co_await timer.async_wait(to_coroutine(ignored));
        if (generation != m_generation) {
            co_return;
        }
        const bool behind = missed > m_seen;
        etcd_request request = encode_read_newest(m_settings.m_prefix);
        const std::optional<std::string> body =
            co_await exchange(std::move(request.m_target), std::move(request.m_body));
        if (generation != m_generation) {
            co_return;
        }
        if (!body || behind) {
            log_warning(body ? "store: watch is silent, starting another"
                             : "store: watch check failed");
            m_watch_stream->cancel();
            co_return;
        }
        const std::optional<store_update> update = decode_range(*body, m_settings.m_prefix);
        if (update && !update->m_records.empty()) {
            missed = update->m_records.front().m_revision;
        }
    }
}

asio::awaitable<void> etcd_store::run_call(store_call call)
{
    etcd_request request = encode_call(call, m_settings.m_prefix);
    const std::optional<std::string> body =
        co_await exchange(std::move(request.m_target), std::move(request.m_body));
    if (body) {
        m_handler(decode_result(call, *body, m_settings.m_prefix));
    }
    else {
        store_result unknown;
        unknown.m_number = call.m_number;
        m_handler(std::move(unknown));
    }
}

asio::awaitable<std::optional<std::string>> etcd_store::exchange(std::string target,
                                                                 std::string body)
{
    const bool reused = !m_idle.empty();
    tcp_stream stream = reused ? std::move(m_idle.back()) : tcp_stream(m_context);
    if (reused) {
        m_idle.pop_back();
    }
    stream.expires_after(m_settings.m_call_patience);
    error_code error;
    if (!reused) {
        co_await stream.async_connect(address().tcp(), to_coroutine(error));
        if (error) {
            co_return std::nullopt;
        }
        stream.socket().set_option(asio::ip::tcp::no_delay(true), error);
    }
    const auto request = make_request(target, std::move(body));
    co_await http::async_write(stream, request, to_coroutine(error));
    if (error) {
        co_return std::nullopt;
    }
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(max_answer_bytes);
    co_await http::async_read(stream, buffer, parser, to_coroutine(error));
    const bool lease_gone = !error && parser.get().result() == http::status::not_found;
    if (error || (parser.get().result() != http::status::ok && !lease_gone)) {
        co_return std::nullopt;
    }
    if (parser.get().keep_alive() && m_idle.size() < max_idle_connections) {
        stream.expires_never();
        m_idle.push_back(std::move(stream));
    }
    if (lease_gone) {
        co_return std::string(R"({"TTL":"0","result":{"TTL":"0"}})");
    }
    co_return std::move(parser.release().body());
}

} // namespace guavabay
