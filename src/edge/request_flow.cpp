#include "edge/request_flow.h"

#include <algorithm>
#include <charconv>

#include "contract/digest.h"
#include "core/check.h"

namespace guavabay {

namespace {

constexpr std::string_view bearer_prefix = "Bearer ";
constexpr std::string_view key_header = "Idempotency-Key";
constexpr std::string_view deadline_header = "X-Request-Deadline-Ms";
constexpr std::size_t max_key_length = 255;
constexpr seconds grant_validity{2};      ///< A slot older than this is given back unused.
constexpr milliseconds answer_slack{250}; ///< Time for the control thread to answer by itself.
constexpr milliseconds least_patience{500};
constexpr double patience_factor = 5;
constexpr double budget_share = 0.1; ///< Retries earned by each success.
constexpr double budget_limit = 10;
constexpr unsigned max_attempts = 5;
constexpr double mean_weight = 0.1;

std::string_view to_view(beast::string_view text)
{
    return {text.data(), text.size()};
}

bool is_idempotent_method(http::verb method)
{
    switch (method) {
    case http::verb::get:
    case http::verb::head:
    case http::verb::put:
    case http::verb::delete_:
        return true;
    default:
        return false;
    }
}

bool is_known_method(http::verb method)
{
    return is_idempotent_method(method) || method == http::verb::post ||
           method == http::verb::patch;
}

/// The first part of a path such as /quotes/latest; empty when there is none.
std::string service_of(std::string_view target)
{
    if (target.size() < 2 || target.front() != '/') {
        return {};
    }
    const std::size_t end = target.find_first_of("/?", 1);
    return std::string(target.substr(1, end == std::string_view::npos ? end : end - 1));
}

/// Removes what concerns only the connection to the caller, and the caller's key.
void strip_connection_fields(http::request<http::string_body>& request)
{
    request.erase(http::field::connection);
    request.erase(http::field::keep_alive);
    request.erase(http::field::proxy_authorization);
    request.erase(http::field::proxy_connection);
    request.erase(http::field::te);
    request.erase(http::field::trailer);
    request.erase(http::field::upgrade);
    request.erase(http::field::authorization);
    request.erase(http::field::expect);
    request.erase(http::field::transfer_encoding);
}

/// The caller's deadline from now; empty when none is given, zero when it is malformed.
std::optional<duration> requested_deadline(const http::request<http::string_body>& request)
{
    const auto field =
        request.find(beast::string_view(deadline_header.data(), deadline_header.size()));
    if (field == request.end()) {
        return std::nullopt;
    }
    const std::string_view text = to_view(field->value());
    std::int64_t count = 0;
    const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), count);
    if (status != std::errc() || end != text.data() + text.size() || count <= 0) {
        return duration::zero();
    }
    return milliseconds(count);
}

/// What the failure of an exchange means to the caller, and whether another try may be made.
std::pair<error_kind, bool> meaning_of(exchange_end end, bool idempotent)
{
    switch (end) {
    case exchange_end::not_sent:
        return {error_kind::endpoint_unreachable, true};
    case exchange_end::silent:
    case exchange_end::lost:
        return {error_kind::answer_lost, idempotent};
    case exchange_end::timed_out:
        return {error_kind::answer_timeout, false};
    case exchange_end::truncated:
        return {error_kind::answer_truncated, idempotent};
    case exchange_end::too_large:
        return {error_kind::answer_too_large, false};
    case exchange_end::answered:
        break;
    }
    return {error_kind::answer_lost, false};
}

/// What the owner of the slot learns about the end of an exchange.
slot_outcome outcome_of(exchange_end end)
{
    switch (end) {
    case exchange_end::answered:
    case exchange_end::too_large:
        return slot_outcome::answered;
    case exchange_end::not_sent:
    case exchange_end::lost:
        return slot_outcome::failed;
    case exchange_end::silent:
    case exchange_end::timed_out:
    case exchange_end::truncated:
        return slot_outcome::still_busy;
    }
    return slot_outcome::failed;
}

} // namespace

request_flow::request_flow(asio::io_context& context, const edge_limits& limits,
                           std::uint64_t origin, event_sender sender, request_metrics& metrics)
    : m_context(context), m_limits(limits), m_origin(origin), m_send(std::move(sender)),
      m_metrics(metrics), m_pool(context, limits.m_max_answer_bytes)
{
}

request_id request_flow::take_id()
{
    return {m_origin, ++m_sequence};
}

void request_flow::take(const edge_answer& answer)
{
    const request_id id = std::visit([](const auto& a) { return a.m_request; }, answer);
    const auto found = m_waiters.find(id);
    if (found == m_waiters.end()) {
        if (std::holds_alternative<slot_given>(answer)) {
            m_send(slot_finished{id, slot_outcome::unused, {}});
        }
        return;
    }
    found->second->m_answer = answer;
    found->second->m_timer.cancel();
}

asio::awaitable<std::optional<edge_answer>> request_flow::ask(edge_event event, request_id id,
                                                              time_point deadline)
{
    waiter waiting{asio::steady_timer(m_context), std::nullopt};
    waiting.m_timer.expires_at(deadline + answer_slack);
    m_waiters[id] = &waiting;
    if (!m_send(std::move(event))) {
        m_waiters.erase(id);
        co_return std::nullopt;
    }
    error_code ignored;
    co_await waiting.m_timer.async_wait(to_coroutine(ignored));
    m_waiters.erase(id);
    co_return std::move(waiting.m_answer);
}

std::optional<error_kind> request_flow::admit(request_context& context,
                                              const http::request<http::string_body>& request)
{
    if (!m_view) {
        return error_kind::not_ready;
    }
    const std::string_view credentials = to_view(request[http::field::authorization]);
    if (!credentials.starts_with(bearer_prefix)) {
        return error_kind::unauthorized;
    }
    const key_digest digest = digest_of(credentials.substr(bearer_prefix.size()));
    const auto customer = m_view->m_customers_by_key.find(digest);
    if (customer == m_view->m_customers_by_key.end()) {
        return error_kind::no_contract;
    }
    context.m_customer = customer->second;
    context.m_finished.m_customer = customer->second;
    const contract_in_force* terms = find_contract(*m_view, customer->second);
    check(terms != nullptr, "a key belongs to a contract");
    const std::optional<error_kind> closed = access_refusal(*terms, read_wall_clock());
    if (closed) {
        return closed;
    }
    if (!is_known_method(request.method())) {
        return error_kind::bad_request;
    }
    const service_id service(service_of(to_view(request.target())));
    context.m_grant = find_service(terms->m_record.m_terms, service);
    if (context.m_grant == nullptr) {
        return error_kind::unknown_service;
    }
    context.m_view = m_view;
    context.m_finished.m_class = context.m_grant->m_class;
    context.m_idempotent =
        is_idempotent_method(request.method()) || context.m_grant->m_post_is_idempotent;
    const std::optional<duration> wanted = requested_deadline(request);
    if (wanted && *wanted == duration::zero()) {
        return error_kind::bad_request;
    }
    const duration allowed = std::min<duration>(wanted.value_or(context.m_grant->m_queue_deadline),
                                                context.m_grant->m_queue_deadline);
    context.m_slot_deadline = context.m_started + allowed;
    const auto key = request.find(beast::string_view(key_header.data(), key_header.size()));
    if (key == request.end() || context.m_idempotent) {
        return std::nullopt;
    }
    if (key->value().empty() || key->value().size() > max_key_length) {
        return error_kind::bad_request;
    }
    key_record record;
    const std::uint64_t owner_hash =
        mix(stable_hash(context.m_customer.str()), stable_hash(service.str()));
    record.m_key_hash = mix(owner_hash, stable_hash(to_view(key->value())));
    record.m_fingerprint =
        mix(stable_hash(to_view(request.method_string())),
            mix(stable_hash(to_view(request.target())), stable_hash(request.body())));
    record.m_request = context.m_id;
    context.m_key = record;
    return std::nullopt;
}

asio::awaitable<std::optional<error_kind>> request_flow::claim(request_context& context)
{
    if (!context.m_key) {
        co_return std::nullopt;
    }
    const duration allowed = context.m_slot_deadline - read_clock();
    const std::optional<edge_answer> answer =
        co_await ask(key_wanted{*context.m_key, allowed}, context.m_id, context.m_slot_deadline);
    const auto* decided = answer ? std::get_if<key_decided>(&*answer) : nullptr;
    if (decided == nullptr) {
        finish_claim(context, key_state::not_run, 0);
        co_return error_kind::owner_unreachable;
    }
    if (decided->m_kind) {
        const bool never_claimed = *decided->m_kind != error_kind::owner_unreachable;
        if (!never_claimed) {
            finish_claim(context, key_state::not_run, 0);
        }
        context.m_key.reset();
        co_return decided->m_kind;
    }
    context.m_key_valid_until = decided->m_valid_until;
    context.m_epoch = decided->m_epoch;
    co_return std::nullopt;
}

void request_flow::finish_claim(request_context& context, key_state state, unsigned status)
{
    if (!context.m_key) {
        return;
    }
    key_record record = *context.m_key;
    record.m_state = state;
    record.m_http_status = status;
    m_send(key_finished{record});
    context.m_key.reset();
}

asio::awaitable<string_response> request_flow::serve(http::request<http::string_body> request)
{
    request_context context;
    context.m_id = take_id();
    context.m_started = read_clock();
    std::optional<error_kind> refusal = admit(context, request);
    if (!refusal) {
        refusal = co_await claim(context);
    }
    string_response response;
    if (refusal) {
        context.m_finished.m_refusal = refusal;
        response = make_error_answer(*refusal, to_string(context.m_id));
    }
    else {
        response = co_await run(context, request);
    }
    context.m_finished.m_total = read_clock() - context.m_started;
    if (!context.m_customer.empty()) {
        m_metrics.record(context.m_finished);
    }
    co_return response;
}

asio::awaitable<string_response> request_flow::run(request_context& context,
                                                   http::request<http::string_body>& request)
{
    strip_connection_fields(request);
    request.set("X-Request-Id", to_string(context.m_id));
    if (context.m_key) {
        request.set("X-Key-Epoch", std::to_string(context.m_epoch.get()));
    }
    attempt last;
    bool may_have_run = false;
    for (unsigned number = 0; number < max_attempts; ++number) {
        last = co_await attempt_once(context, request);
        if (!last.m_failure) {
            const unsigned status = last.m_response.result_int();
            finish_claim(context, key_state::done, status);
            co_return std::move(last.m_response);
        }
        const ran_state ran = answer_for(*last.m_failure).m_ran;
        may_have_run = may_have_run || ran != ran_state::no;
        const bool in_time = read_clock() < context.m_slot_deadline;
        if (!last.m_may_retry || !in_time || !spend_retry(context.m_customer)) {
            break;
        }
        ++context.m_finished.m_retries;
    }
    const bool last_did_not_run = answer_for(*last.m_failure).m_ran == ran_state::no;
    if (may_have_run && last_did_not_run) {
        last.m_failure = error_kind::answer_lost;
    }
    finish_claim(context, may_have_run ? key_state::unknown : key_state::not_run, 0);
    context.m_finished.m_refusal = last.m_failure;
    co_return make_error_answer(*last.m_failure, to_string(context.m_id));
}

asio::awaitable<request_flow::attempt>
request_flow::attempt_once(request_context& context,
                           const http::request<http::string_body>& request)
{
    attempt result;
    const time_point asked = read_clock();
    slot_wanted wanted;
    wanted.m_request = take_id();
    wanted.m_customer = context.m_customer;
    wanted.m_service = context.m_grant->m_name;
    wanted.m_allowed = context.m_slot_deadline - asked;
    wanted.m_excluded = context.m_excluded;
    const request_id slot_request = wanted.m_request;
    const std::optional<edge_answer> answer =
        co_await ask(std::move(wanted), slot_request, context.m_slot_deadline);
    if (!answer) {
        m_send(slot_finished{slot_request, slot_outcome::unused, {}});
        result.m_failure = error_kind::overloaded;
        co_return result;
    }
    if (const auto* denied = std::get_if<slot_denied>(&*answer)) {
        result.m_failure = denied->m_kind;
        co_return result;
    }
    const slot_given& given = std::get<slot_given>(*answer);
    const time_point granted = read_clock();
    context.m_finished.m_waited += granted - asked;
    endpoint_call call;
    call.m_address = given.m_address;
    call.m_request = request;
    call.m_idempotent = context.m_idempotent;
    call.m_run_limit = context.m_grant->m_run_limit;
    call.m_patience = patience_for(context.m_grant->m_name);
    call.m_may_send = [granted, valid = context.m_key_valid_until] {
        const time_point now = read_clock();
        return now - granted < grant_validity && now < valid;
    };
    endpoint_answer got = co_await m_pool.exchange(std::move(call));
    const duration ran = read_clock() - granted;
    context.m_finished.m_endpoint = given.m_endpoint;
    context.m_finished.m_ran = ran;
    m_send(slot_finished{slot_request, outcome_of(got.m_end), ran});
    if (got.m_end == exchange_end::answered) {
        double& mean = m_mean_run_us[context.m_grant->m_name];
        const auto sample = static_cast<double>(ran.count());
        mean = mean == 0 ? sample : mean * (1 - mean_weight) + sample * mean_weight;
        double& stock = m_budgets[context.m_customer].m_stock;
        stock = std::min(budget_limit, stock + budget_share);
        result.m_response = std::move(got.m_response);
        co_return result;
    }
    const auto [kind, may_retry] = meaning_of(got.m_end, context.m_idempotent);
    result.m_failure = kind;
    result.m_may_retry = may_retry;
    if (!got.m_reused_connection) {
        context.m_excluded.push_back(given.m_endpoint);
    }
    co_return result;
}

bool request_flow::spend_retry(const customer_id& customer)
{
    double& stock = m_budgets[customer].m_stock;
    if (stock < 1) {
        return false;
    }
    stock -= 1;
    return true;
}

duration request_flow::patience_for(const service_id& service) const
{
    const auto found = m_mean_run_us.find(service);
    const double mean = found == m_mean_run_us.end() ? 0 : found->second;
    const duration learned(static_cast<std::int64_t>(mean * patience_factor));
    return std::max<duration>(least_patience, learned);
}

} // namespace guavabay
