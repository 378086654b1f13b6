#include "runner.h"

#include <algorithm>
#include <boost/json.hpp>

namespace review {

namespace json = boost::json;

namespace {

constexpr milliseconds work_interval{2};
constexpr milliseconds beat_interval{1500};

/// Time from opening the port of a new life to its entry in the store.
constexpr milliseconds registration_time{50};

/// Bounds of the small sites: longest lease, and a stop well below `stop-ms`.
constexpr std::int64_t max_hold_ms = 10000;
constexpr milliseconds stop_time{200};

/// Most by which a subtask takes longer than its specification says.
constexpr std::size_t run_time_spread_ms = 40;

/// Begins the specification of a subtask whose first run fails.
constexpr std::string_view fails_once_prefix = "fails-once ";

/// Begins the specification of a lasting subtask whose first run ends `done`; later ones don't end.
constexpr std::string_view ends_once_prefix = "ends-once ";

/// Begins the specification of a submission whose first step is a gang; its size and length follow.
/// Its other steps take as long as the gang.
constexpr std::string_view gang_prefix = "gang ";
constexpr milliseconds gang_wait{3000};

/// Startup of a lasting subtask, and a time that no test reaches.
constexpr milliseconds startup_time{300};
constexpr milliseconds endless{3600000};

std::int64_t number_of(const json::object& object, const char* name)
{
    const json::value* value = object.if_contains(name);
    return value != nullptr && value->is_number() ? value->to_number<std::int64_t>() : 0;
}

std::string text_of(const json::object& object, const char* name)
{
    const json::value* value = object.if_contains(name);
    return value != nullptr && value->is_string() ? std::string(value->get_string()) : "";
}

std::int64_t unix_ms()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

/// True for a subtask of a submission's first step; its name is ID.OCCURRENCE.STEP.INDEX.
bool is_first_step(const std::string& task)
{
    const std::string step = task.substr(0, task.rfind('.'));
    return step.ends_with(".0");
}

} // namespace

void run_checker::begin(const std::string& runner, const std::string& task, std::int64_t run)
{
    m_log.add("RUN begins task=" + task + " run=" + std::to_string(run) + " runner=" + runner);
    ++m_starts[task];
    std::map<std::string, std::int64_t>& active = m_active[task];
    for (const auto& [other, number] : active) {
        m_log.add_violation("TWICE", "task=" + task + " begins as run " + std::to_string(run) +
                                         " on " + runner + " while run " + std::to_string(number) +
                                         " is at work on " + other);
    }
    if (m_noted_done.contains(task)) {
        m_log.add_violation("TWICE", "task=" + task + " begins on " + runner +
                                         " after a run ended done and that was taken note of");
    }
    active[runner] = run;
}

void run_checker::end(const std::string& runner, const std::string& task, std::int64_t run,
                      const std::string& how)
{
    m_log.add("RUN ends task=" + task + " run=" + std::to_string(run) + " runner=" + runner +
              " how=" + how);
    m_active[task].erase(runner);
}

void run_checker::take_note(const std::string& task, const std::string& how)
{
    if (how == "done") {
        m_noted_done.insert(task);
    }
}

std::shared_ptr<gang_run> run_checker::find_gang(const std::string& task, std::int64_t run)
{
    std::shared_ptr<gang_run>& gang =
        m_gangs[task.substr(0, task.rfind('.')) + " " + std::to_string(run)];
    if (!gang) {
        gang = std::make_shared<gang_run>();
    }
    return gang;
}

std::size_t run_checker::starts(const std::string& task) const
{
    const auto found = m_starts.find(task);
    return found == m_starts.end() ? 0 : found->second;
}

bool run_checker::has_started(const std::string& submission) const
{
    return std::any_of(m_starts.begin(), m_starts.end(),
                       [&](const auto& entry) { return entry.first.starts_with(submission); });
}

runner::runner(asio::io_context& context, platform_store& store, record& log, run_checker& checker,
               traits traits)
    : m_context(context), m_store(store), m_log(log), m_checker(checker),
      m_traits(std::move(traits)),
      m_server(context, [this](http_request request) { return handle(std::move(request)); }),
      m_born_ms(unix_ms() - m_traits.m_uptime.count()),
      m_life_began(steady::now() - m_traits.m_uptime)
{
    m_server.open();
    asio::co_spawn(m_context, work(), asio::detached);
    asio::co_spawn(m_context, send_beats(), asio::detached);
}

std::int64_t runner::clock_ms() const
{
    return std::chrono::duration_cast<milliseconds>(steady::now() - m_life_began).count();
}

void runner::crash()
{
    m_log.add("TROUBLE runner " + m_traits.m_id + " crashes, runs=" +
              std::to_string(m_runs.size()) + " last_end=" + std::to_string(m_last_end));
    m_up = false;
    ++m_life;
    m_server.close();
    for (const auto& [task, each] : m_runs) {
        m_checker.end(m_traits.m_id, task, each.m_number, "lost with the runner");
        if (each.m_gang) {
            each.m_gang->m_broken = !each.m_gang->m_done;
        }
    }
    m_runs.clear();
    m_ended.clear();
    m_highest_ended.clear();
    m_fence = 0;
    m_lease_until_ms = 0;
    m_last_end = 0;
    m_sequence = 0;
}

void runner::restart()
{
    m_log.add("TROUBLE runner " + m_traits.m_id + " starts again");
    m_up = true;
    m_born_ms = unix_ms();
    m_life_began = steady::now();
    m_server.open();
    asio::co_spawn(m_context, register_again(m_life), asio::detached);
}

asio::awaitable<void> runner::register_again(std::uint64_t life)
{
    co_await pause_for(m_context, registration_time);
    if (m_up && life == m_life && !m_cut) {
        beat();
    }
}

void runner::set_cut(bool cut)
{
    m_log.add("TROUBLE runner " + m_traits.m_id + (cut ? " is cut off" : " is reachable again"));
    m_cut = cut;
    if (!cut) {
        m_server.reset_connections();
    }
}

bool runner::is_running(const std::string& submission) const
{
    return std::any_of(m_runs.begin(), m_runs.end(),
                       [&](const auto& entry) { return entry.first.starts_with(submission); });
}

void runner::beat()
{
    json::array labels;
    for (const std::string& label : m_traits.m_labels) {
        labels.emplace_back(label);
    }
    const json::object entry{{"service", m_traits.m_service},
                             {"address", m_server.address()},
                             {"zone", "zone-a"},
                             {"version", "v1"},
                             {"slots", 8},
                             {"state", "ready"},
                             {"cold-left-ms", 0},
                             {"capacity", {{"cpu", m_traits.m_cpu}, {"mem-mb", 32768}, {"gpu", 0}}},
                             {"labels", std::move(labels)},
                             {"clock-ms", clock_ms()},
                             {"machine", "m-" + m_traits.m_id},
                             {"born", m_born_ms},
                             {"sequence", ++m_sequence}};
    m_store.put("servers/" + m_traits.m_id, json::serialize(entry));
}

asio::awaitable<void> runner::send_beats()
{
    beat();
    // Runners don't report in step.
    const std::size_t phase =
        std::hash<std::string>()(m_traits.m_id) % static_cast<std::size_t>(beat_interval.count());
    co_await pause_for(m_context, milliseconds(phase));
    while (true) {
        if (m_up && !m_cut) {
            beat();
        }
        co_await pause_for(m_context, beat_interval);
    }
}

void runner::end_run(const std::string& task, const std::string& how)
{
    const auto found = m_runs.find(task);
    const std::int64_t number = found->second.m_number;
    if (found->second.m_gang) {
        found->second.m_gang->m_broken = !found->second.m_gang->m_done;
    }
    m_runs.erase(found);
    std::int64_t& highest = m_highest_ended[task];
    highest = std::max(highest, number);
    m_ended.push_back({++m_last_end, task, number, how});
    m_checker.end(m_traits.m_id, task, number, how);
}

std::string runner::find_end(const run& each, steady::time_point now) const
{
    if (clock_ms() > m_lease_until_ms) {
        return "lapsed";
    }
    if (each.m_stopping && now >= each.m_stops_at) {
        return "stopped";
    }
    if (each.m_gang) {
        gang_run& gang = *each.m_gang;
        const bool complete = gang.m_present == gang.m_size;
        if (!gang.m_broken && complete && now - gang.m_complete_at >= each.m_length) {
            gang.m_done = true;
        }
        if (gang.m_done || gang.m_broken) {
            return gang.m_done ? "done" : "broken";
        }
        return !complete && now - each.m_began > gang_wait ? "alone" : "";
    }
    if (now - each.m_began >= each.m_length) {
        return each.m_fails ? "failed" : "done";
    }
    return "";
}

void runner::end_due_runs()
{
    const steady::time_point now = steady::now();
    std::vector<std::pair<std::string, std::string>> due;
    for (const auto& [task, each] : m_runs) {
        const std::string how = find_end(each, now);
        if (!how.empty()) {
            due.emplace_back(task, how);
        }
    }
    for (const auto& [task, how] : due) {
        end_run(task, how);
    }
}

asio::awaitable<void> runner::work()
{
    while (true) {
        co_await pause_for(m_context, work_interval);
        if (m_up) {
            end_due_runs();
        }
    }
}

http_reply runner::refuse(const std::string& reason) const
{
    return {409, json::serialize(json::object{
                     {"clock-ms", clock_ms()}, {"born", m_born_ms}, {"reason", reason}})};
}

void runner::extend_lease(std::int64_t deadline_ms)
{
    m_lease_until_ms = std::max(m_lease_until_ms, std::min(deadline_ms, clock_ms() + max_hold_ms));
}

void runner::set_work(run& begun, const std::string& task, const std::string& spec)
{
    const bool fails_once = spec.starts_with(fails_once_prefix);
    begun.m_fails = fails_once && m_checker.starts(task) == 0;
    begun.m_lasts = spec.starts_with(ends_once_prefix);
    begun.m_length = milliseconds(std::stoll(spec.substr(spec.rfind(' ') + 1)));
    if (spec.starts_with(gang_prefix) && is_first_step(task)) {
        begun.m_gang = m_checker.find_gang(task, begun.m_number);
        begun.m_gang->m_size = std::stoul(spec.substr(gang_prefix.size()));
        if (++begun.m_gang->m_present == begun.m_gang->m_size) {
            begun.m_gang->m_complete_at = begun.m_began;
        }
    }
    else if (!begun.m_lasts) {
        // Equal subtasks don't take exactly the same time.
        begun.m_length += milliseconds(std::hash<std::string>()(task) % run_time_spread_ms);
    }
    if (begun.m_lasts && m_checker.starts(task) > 0) {
        begun.m_length = endless;
    }
}

http_reply runner::start_run(const std::string& body)
{
    const json::object order = json::parse(body).as_object();
    const std::string task = text_of(order, "task");
    const std::int64_t number = number_of(order, "run");
    const std::int64_t deadline_ms = number_of(order, "deadline-ms");
    const std::string spec = text_of(order, "task-spec");
    m_log.add("START order task=" + task + " run=" + std::to_string(number) +
              " runner=" + m_traits.m_id + " clock_ms=" + std::to_string(clock_ms()) +
              " deadline_ms=" + std::to_string(deadline_ms));
    const auto highest = m_highest_ended.find(task);
    const auto found = m_runs.find(task);
    if (highest != m_highest_ended.end() && number <= highest->second) {
        extend_lease(deadline_ms);
        return refuse("old");
    }
    if (deadline_ms <= clock_ms()) {
        return refuse("late");
    }
    extend_lease(deadline_ms);
    if (found == m_runs.end()) {
        run begun;
        begun.m_number = number;
        begun.m_began = steady::now();
        set_work(begun, task, spec);
        m_runs[task] = begun;
        m_checker.begin(m_traits.m_id, task, number);
    }
    return {200, json::serialize(json::object{{"clock-ms", clock_ms()}, {"born", m_born_ms}})};
}

http_reply runner::stop_run(const std::string& body)
{
    const json::object order = json::parse(body).as_object();
    const std::string task = text_of(order, "task");
    const std::int64_t number = number_of(order, "run");
    m_log.add("STOP order task=" + task + " run=" + std::to_string(number) +
              " runner=" + m_traits.m_id);
    const auto found = m_runs.find(task);
    if (found != m_runs.end() && found->second.m_number == number) {
        if (!found->second.m_stopping) {
            found->second.m_stopping = true;
            found->second.m_stops_at = steady::now() + stop_time;
        }
    }
    else if (found == m_runs.end()) {
        std::int64_t& highest = m_highest_ended[task];
        highest = std::max(highest, number);
    }
    return {200, json::serialize(json::object{{"clock-ms", clock_ms()}, {"born", m_born_ms}})};
}

asio::awaitable<http_reply> runner::hold(std::string body, std::uint64_t life)
{
    const json::object request = json::parse(body).as_object();
    const std::int64_t acked = number_of(request, "acked-through");
    while (!m_ended.empty() && m_ended.front().m_number <= acked) {
        m_checker.take_note(m_ended.front().m_task, m_ended.front().m_how);
        m_ended.pop_front();
    }
    if (acked > m_last_end) {
        m_log.add("HOLD runner=" + m_traits.m_id + " acked-through=" + std::to_string(acked) +
                  " but this life's newest end is " + std::to_string(m_last_end));
    }
    if (const std::int64_t deadline_ms = number_of(request, "deadline-ms"); deadline_ms > 0) {
        extend_lease(deadline_ms);
    }
    const auto until = steady::now() + milliseconds(number_of(request, "wait-ms"));
    while (m_ended.empty() && steady::now() < until && life == m_life) {
        co_await pause_for(m_context, work_interval);
    }
    json::array running;
    for (const auto& [task, each] : m_runs) {
        const auto since = std::chrono::duration_cast<milliseconds>(steady::now() - each.m_began);
        const milliseconds full = each.m_lasts ? startup_time : each.m_length;
        const std::int64_t percent =
            std::min<std::int64_t>(each.m_lasts ? 100 : 99, 100 * since / full);
        running.emplace_back(json::array{task, each.m_number, "", percent, 500});
    }
    json::array finished;
    for (const ended& each : m_ended) {
        finished.emplace_back(json::array{each.m_number, each.m_task, each.m_run, each.m_how, ""});
    }
    const json::object answer{{"clock-ms", clock_ms()},
                              {"born", m_born_ms},
                              {"running-tasks", std::move(running)},
                              {"finished", std::move(finished)}};
    co_return http_reply{200, json::serialize(answer)};
}

asio::awaitable<std::optional<http_reply>> runner::handle(http_request request)
{
    if (!m_up || m_cut) {
        co_return std::nullopt;
    }
    if (!request.m_expected_instance.empty() && request.m_expected_instance != m_traits.m_id) {
        co_return http_reply{421, "{}"};
    }
    const std::uint64_t life = m_life;
    const std::int64_t fence = number_of(json::parse(request.m_body).as_object(), "fencing-token");
    if (fence < m_fence) {
        co_return refuse("fence");
    }
    m_fence = fence;
    end_due_runs();
    std::optional<http_reply> reply;
    if (request.m_path == "/v1/run-start") {
        reply = start_run(request.m_body);
    }
    else if (request.m_path == "/v1/run-stop") {
        reply = stop_run(request.m_body);
    }
    else if (request.m_path == "/v1/hold") {
        reply = co_await hold(request.m_body, life);
    }
    else if (request.m_path == "/v1/pace") {
        reply = http_reply{200, json::serialize(json::object{{"clock-ms", clock_ms()}})};
    }
    else {
        reply = http_reply{404, "{}"};
    }
    if (m_cut || life != m_life) {
        co_return std::nullopt;
    }
    co_return reply;
}

} // namespace review
