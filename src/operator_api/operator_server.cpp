#include "operator_api/operator_server.h"

#include <charconv>

#include "contract/digest.h"
#include "log/log.h"

namespace guavabay {

namespace {

constexpr seconds read_patience{75};
constexpr seconds answer_patience{15};
constexpr milliseconds accept_retry_pause{50};
constexpr std::uint64_t max_body_bytes = 1U << 20U;
constexpr std::uint32_t max_header_bytes = 8U << 10U;

/// Bytes of incomplete calls and of answers that are not taken, of all connections together.
constexpr std::size_t max_held_bytes = 32U << 20U;
constexpr std::size_t max_waiting = 1024;
constexpr std::string_view contracts_path = "/v1/contracts";
constexpr std::string_view bearer_prefix = "Bearer ";

std::string_view to_view(beast::string_view text)
{
    return {text.data(), text.size()};
}

std::string header(const http::request<http::string_body>& request, const char* name)
{
    return std::string(to_view(request[name]));
}

/// The parts of a path such as /v1/contracts/NAME/proof after the common start.
std::pair<std::string, std::string> split_path(std::string_view target)
{
    std::string_view rest = target.substr(contracts_path.size());
    if (!rest.empty() && rest.front() == '/') {
        rest.remove_prefix(1);
    }
    const std::size_t slash = rest.find('/');
    if (slash == std::string_view::npos) {
        return {std::string(rest), ""};
    }
    return {std::string(rest.substr(0, slash)), std::string(rest.substr(slash + 1))};
}

std::optional<operator_verb> verb_of(http::verb method, const std::string& customer,
                                     const std::string& action)
{
    if (customer.empty()) {
        return method == http::verb::get ? std::optional(operator_verb::list) : std::nullopt;
    }
    if (action == "status" && method == http::verb::get) {
        return operator_verb::status;
    }
    if (action == "proof" && method == http::verb::get) {
        return operator_verb::proof;
    }
    if (!action.empty()) {
        return std::nullopt;
    }
    switch (method) {
    case http::verb::get:
        return operator_verb::get;
    case http::verb::put:
        return operator_verb::apply;
    case http::verb::delete_:
        return operator_verb::end;
    default:
        return std::nullopt;
    }
}

/// The call about the fleet that a request makes; empty when it makes none.
std::optional<operator_request> fleet_call(const http::request<http::string_body>& request)
{
    constexpr std::string_view fleet_path = "/v1/fleet/";
    constexpr std::string_view pool_path = "/pool";
    const std::string_view target = to_view(request.target());
    const http::verb method = request.method();
    operator_request call;
    call.m_body = request.body();
    call.m_operator = header(request, "Operator");
    call.m_dry_run = header(request, "Dry-Run") == "yes";
    if (target == "/v1/fleet" && method == http::verb::get) {
        call.m_verb = operator_verb::fleet_status;
    }
    else if (target == "/v1/wave" && method == http::verb::get) {
        call.m_verb = operator_verb::wave_status;
    }
    else if (target == "/v1/wave" && method == http::verb::put) {
        call.m_verb = operator_verb::wave_start;
    }
    else if (target == "/v1/wave/pause" && method == http::verb::post) {
        call.m_verb = operator_verb::wave_pause;
    }
    else if (target == "/v1/wave/resume" && method == http::verb::post) {
        call.m_verb = operator_verb::wave_resume;
    }
    else if (target.starts_with(fleet_path) && target.ends_with(pool_path) &&
             method == http::verb::put) {
        call.m_verb = operator_verb::host_move;
        const std::size_t length = target.size() - fleet_path.size() - pool_path.size();
        call.m_host = std::string(target.substr(fleet_path.size(), length));
    }
    else {
        return std::nullopt;
    }
    return call;
}

/// The call about a pool's tasks that a request makes, under paths such as
/// /v1/pools/POOL/tasks/TASK; empty when it makes none.
std::optional<operator_request> task_call_of(const http::request<http::string_body>& request)
{
    constexpr std::string_view pools_path = "/v1/pools/";
    constexpr std::string_view tasks_path = "/tasks";
    const std::string_view target = to_view(request.target());
    if (!target.starts_with(pools_path)) {
        return std::nullopt;
    }
    const std::string_view rest = target.substr(pools_path.size());
    const std::size_t end = rest.find('/');
    if (end == std::string_view::npos || !rest.substr(end).starts_with(tasks_path)) {
        return std::nullopt;
    }
    operator_request call;
    call.m_pool = pool_id(std::string(rest.substr(0, end)));
    call.m_body = request.body();
    const std::string_view name = rest.substr(end + tasks_path.size());
    const http::verb method = request.method();
    if (name.empty() && method == http::verb::get) {
        call.m_verb = operator_verb::task_list;
        return call;
    }
    if (!name.starts_with('/')) {
        return std::nullopt;
    }
    call.m_task = task_id(std::string(name.substr(1)));
    switch (method) {
    case http::verb::get:
        call.m_verb = operator_verb::task_explain;
        return call;
    case http::verb::put:
        call.m_verb = operator_verb::task_submit;
        return call;
    case http::verb::delete_:
        call.m_verb = operator_verb::task_cancel;
        return call;
    default:
        return std::nullopt;
    }
}

/// The counts of the inner protocol in the Prometheus text format.
std::string describe_link(const shared_state& shared)
{
    return "guavabay_peer_sent_bytes_total " + std::to_string(shared.m_peer_sent_bytes.load()) +
           "\nguavabay_peer_received_bytes_total " +
           std::to_string(shared.m_peer_received_bytes.load()) +
           "\nguavabay_peer_rejected_packets_total " +
           std::to_string(shared.m_peer_rejected_packets.load()) + "\n";
}

std::vector<host_id> read_hosts(const std::string& text)
{
    std::vector<host_id> hosts;
    std::size_t begin = 0;
    while (begin < text.size()) {
        const std::size_t end = std::min(text.find(',', begin), text.size());
        hosts.emplace_back(text.substr(begin, end - begin));
        begin = end + 1;
    }
    return hosts;
}

} // namespace

/// An operator's connection, counted in the budget while it exists.
struct operator_server::open_connection : budgeted_connection {
    open_connection(asio::ip::tcp::socket&& socket, std::shared_ptr<connection_budget> budget)
        : m_stream(std::move(socket)), m_budget(std::move(budget))
    {
    }
    open_connection(const open_connection&) = delete;
    open_connection& operator=(const open_connection&) = delete;
    ~open_connection() override
    {
        if (is_linked()) {
            leave(*m_budget, *this);
        }
    }

    void close_socket() override
    {
        log_warning("operators: connection closed reason=" +
                    std::string(to_string(*m_close_reason)));
        m_stream.close();
    }

    beast::tcp_stream m_stream;
    std::shared_ptr<connection_budget> m_budget;
};

operator_server::operator_server(asio::io_context& context, const ip_address& address,
                                 std::size_t max_connections, std::string key,
                                 request_sender sender, const request_metrics& metrics,
                                 shared_state& shared)
    : m_context(context), m_acceptor(context, address.tcp()), m_key(std::move(key)),
      m_send(std::move(sender)), m_metrics(metrics), m_shared(shared),
      m_budget(std::make_shared<connection_budget>())
{
    m_budget->m_limits.m_max_bytes = max_held_bytes;
    m_budget->m_limits.m_ports.front() = {max_connections, max_connections};
    asio::co_spawn(m_context, accept(), asio::detached);
}

void operator_server::take(operator_answer&& answer)
{
    const auto found = m_waiters.find(answer.m_number);
    if (found != m_waiters.end()) {
        found->second->m_answer = std::move(answer);
        found->second->m_timer.cancel();
    }
}

asio::awaitable<void> operator_server::accept()
{
    while (true) {
        error_code error;
        asio::ip::tcp::socket socket = co_await m_acceptor.async_accept(to_coroutine(error));
        if (error == asio::error::operation_aborted) {
            co_return;
        }
        if (error) {
            // Without a pause a lack of descriptors would keep the processor busy.
            log_warning("operators: accept failed: " + error.message());
            asio::steady_timer pause(m_context, accept_retry_pause);
            co_await pause.async_wait(to_coroutine(error));
            continue;
        }
        m_budget->m_now = read_clock();
        auto connection = std::make_unique<open_connection>(std::move(socket), m_budget);
        const std::optional<budget_reason> refusal = admit(*m_budget, *connection);
        if (refusal) {
            log_warning("operators: connection refused reason=" + std::string(to_string(*refusal)));
            continue;
        }
        asio::co_spawn(m_context, serve_connection(std::move(connection)), asio::detached);
    }
}

asio::awaitable<void> operator_server::serve_connection(std::unique_ptr<open_connection> connection)
{
    beast::tcp_stream& stream = connection->m_stream;
    beast::flat_buffer buffer(max_header_bytes);
    error_code error;
    bool open = true;
    while (open) {
        request_parser parser;
        parser.eager(true);
        parser.header_limit(max_header_bytes);
        parser.body_limit(max_body_bytes);
        read_progress progress;
        stream.expires_after(read_patience);
        error =
            co_await read_request(stream, *m_budget, *connection, buffer, parser, read_until::end,
                                  max_request_bytes(max_header_bytes, max_body_bytes), progress);
        if (error) {
            break;
        }
        const http::request<http::string_body> request = parser.release();
        stream.expires_never();
        enter_state(*m_budget, *connection, connection_state::handling);
        string_response response = co_await answer_to(request);
        response.keep_alive(request.keep_alive());
        open = request.keep_alive();
        enter_state(*m_budget, *connection, connection_state::writing);
        if (!hold(*m_budget, *connection, response.body().size())) {
            break;
        }
        stream.expires_after(read_patience);
        co_await http::async_write(stream, response, to_coroutine(error));
        hold(*m_budget, *connection, 0);
        open = open && !error && !connection->m_close_reason;
        enter_state(*m_budget, *connection, connection_state::idle);
    }
    stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, error);
}

std::optional<string_response>
operator_server::answer_here(const http::request<http::string_body>& request)
{
    const std::string_view target = to_view(request.target());
    if (target == "/live") {
        return make_answer(http::status::ok, "text/plain", "live\n");
    }
    if (target == "/ready") {
        const bool fresh =
            m_shared.m_fresh_until_us.load() > read_clock().time_since_epoch().count();
        if (m_shared.m_ready.load() && fresh) {
            return make_answer(http::status::ok, "text/plain", "ready\n");
        }
        return make_error_answer(error_kind::not_ready, {});
    }
    const std::string_view credentials = to_view(request[http::field::authorization]);
    const std::string_view given = credentials.starts_with(bearer_prefix)
                                       ? credentials.substr(bearer_prefix.size())
                                       : std::string_view();
    if (!m_key.empty() && !equal_in_constant_time(digest_of(given), digest_of(m_key))) {
        return make_error_answer(error_kind::unauthorized, {});
    }
    if (target == "/metrics") {
        return make_answer(http::status::ok, "text/plain; version=0.0.4",
                           m_metrics.to_text() + describe_link(m_shared));
    }
    if (target == "/v1/histograms") {
        return make_answer(http::status::ok, "application/json", m_metrics.to_json());
    }
    if (target == "/v1/log-level" && request.method() == http::verb::put) {
        const std::string& level = request.body();
        if (level != "info" && level != "warning" && level != "error") {
            return make_error_answer(error_kind::bad_request, {},
                                     "the level is info, warning or error");
        }
        set_log_threshold(level == "info"      ? log_threshold::info
                          : level == "warning" ? log_threshold::warning
                                               : log_threshold::error);
        return make_answer(http::status::ok, "text/plain", level + "\n");
    }
    return std::nullopt;
}

asio::awaitable<string_response>
operator_server::answer_to(const http::request<http::string_body>& request)
{
    std::optional<string_response> here = answer_here(request);
    if (here) {
        co_return std::move(*here);
    }
    const std::string_view target = to_view(request.target());
    operator_request call;
    const std::optional<operator_request> about_fleet = fleet_call(request);
    if (about_fleet) {
        co_return co_await call_control(*about_fleet);
    }
    const std::optional<operator_request> about_task = task_call_of(request);
    if (about_task) {
        co_return co_await call_control(*about_task);
    }
    if (target == "/v1/members" && request.method() == http::verb::get) {
        call.m_verb = operator_verb::members;
        co_return co_await call_control(std::move(call));
    }
    if (!target.starts_with(contracts_path)) {
        co_return make_error_answer(error_kind::not_found, {}, "no such path");
    }
    const auto [customer, action] = split_path(target);
    const std::optional<operator_verb> verb = verb_of(request.method(), customer, action);
    if (!verb) {
        co_return make_error_answer(error_kind::bad_request, {}, "no such call");
    }
    call.m_verb = *verb;
    call.m_customer = customer_id(customer);
    call.m_body = request.body();
    call.m_operation = operation_id(header(request, "Operation-Id"));
    call.m_operator = header(request, "Operator");
    call.m_assumed_gone = read_hosts(header(request, "Assume-Gone"));
    const std::string expected = header(request, "If-Version");
    if (!expected.empty()) {
        std::int64_t number = 0;
        const auto [end, status] =
            std::from_chars(expected.data(), expected.data() + expected.size(), number);
        if (status != std::errc() || end != expected.data() + expected.size()) {
            co_return make_error_answer(error_kind::bad_request, {}, "If-Version is not a number");
        }
        call.m_expected = revision(number);
    }
    const bool changes = *verb == operator_verb::apply || *verb == operator_verb::end;
    if (changes && call.m_operation.empty()) {
        co_return make_error_answer(error_kind::bad_request, {}, "Operation-Id is missing");
    }
    co_return co_await call_control(std::move(call));
}

asio::awaitable<string_response> operator_server::call_control(operator_request call)
{
    const std::uint64_t number = m_next_number++;
    call.m_number = number;
    waiter waiting{asio::steady_timer(m_context), std::nullopt};
    waiting.m_timer.expires_after(answer_patience);
    if (m_waiters.size() >= max_waiting || !m_send(std::move(call))) {
        co_return make_error_answer(error_kind::overloaded, {});
    }
    m_waiters[number] = &waiting;
    error_code ignored;
    co_await waiting.m_timer.async_wait(to_coroutine(ignored));
    m_waiters.erase(number);
    if (!waiting.m_answer) {
        co_return make_error_answer(error_kind::outcome_unknown, {});
    }
    if (waiting.m_answer->m_kind) {
        co_return make_error_answer(*waiting.m_answer->m_kind, {}, waiting.m_answer->m_body);
    }
    co_return make_answer(http::status::ok, "application/json", waiting.m_answer->m_body);
}

} // namespace guavabay
