#include "runner.h"

namespace review {

namespace {

constexpr milliseconds step{5};
constexpr milliseconds answer_time{1};
constexpr std::int64_t full_percent = 100;

} // namespace

runner::runner(asio::io_context& context, store& registry, record& written, runner_traits traits)
    : m_context(context), m_registry(registry), m_record(written), m_traits(std::move(traits)),
      m_server(context, [this](request asked) { return answer(std::move(asked)); })
{
    asio::co_spawn(m_context, work(), asio::detached);
}

void runner::start(const std::string& kind)
{
    m_kind = kind;
    ++m_lifetime;
    m_up = true;
    m_draining = false;
    m_born_ms = unix_ms();
    m_born_at = steady::now();
    m_fence = 0;
    m_deadline_ms = 0;
    m_next_end = 1;
    m_sequence = 0;
    m_runs.clear();
    m_highest.clear();
    m_ends.clear();
    m_server.start();
    publish();
    m_record.write("runner " + m_traits.m_id + " starts kind=" + kind +
                   " born=" + std::to_string(m_born_ms));
}

void runner::start_as_new()
{
    m_traits.m_id += "n";
    m_server.change_port();
    start(m_kind);
}

void runner::crash()
{
    m_up = false;
    m_server.stop();
    m_record.write("runner " + m_traits.m_id + " crashes");
    for (const auto& [task, what] : m_runs) {
        const std::string lost = task;
        if (m_on_event) {
            m_on_event({run_event::kind::ended, m_traits.m_id, lost, what.m_number, "lost", false});
        }
    }
    m_runs.clear();
}

void runner::fail_all()
{
    for (const std::string& task : tasks()) {
        end_run(task, "failed");
    }
}

void runner::drain()
{
    m_draining = true;
    m_record.write("runner " + m_traits.m_id + " reports draining");
    publish();
}

bool runner::is_at_work(const std::string& task) const
{
    const auto found = m_runs.find(task);
    return found != m_runs.end() && percent(task, found->second) == full_percent;
}

std::vector<std::string> runner::tasks() const
{
    std::vector<std::string> names;
    names.reserve(m_runs.size());
    for (const auto& [task, what] : m_runs) {
        names.push_back(task);
    }
    return names;
}

void runner::publish()
{
    const json::object entry{{"service", m_traits.m_service},
                             {"address", m_server.address()},
                             {"zone", "z1"},
                             {"version", "v1"},
                             {"slots", 8},
                             {"state", m_draining ? "draining" : "ready"},
                             {"remaining-ms", m_draining ? 20000 : 0},
                             {"cold-left-ms", 0},
                             {"sequence", ++m_sequence},
                             {"born", m_born_ms},
                             {"machine", m_traits.m_machine},
                             {"capacity", {{"cpu", m_traits.m_cpu}, {"mem-mb", 16384}, {"gpu", 0}}},
                             {"labels", json::array{m_kind, m_traits.m_rack}}};
    m_registry.put("servers/" + m_traits.m_id, json::serialize(entry));
}

std::int64_t runner::clock_ms() const
{
    return std::chrono::duration_cast<milliseconds>(steady::now() - m_born_at).count();
}

std::int64_t runner::percent(const std::string& task, const run& what) const
{
    const auto passed = std::chrono::duration_cast<milliseconds>(steady::now() - what.m_began_at);
    if (m_lasts && m_lasts(task)) {
        return passed >= m_traits.m_startup ? full_percent : 0;
    }
    return std::min<std::int64_t>(full_percent - 1,
                                  full_percent * passed.count() / m_traits.m_work.count());
}

void runner::end_run(const std::string& task, const std::string& how)
{
    const run what = m_runs.at(task);
    const bool at_work = is_at_work(task);
    m_runs.erase(task);
    m_highest[task] = std::max(m_highest[task], what.m_number);
    m_ends.push_back({m_next_end++, task, what.m_number, how});
    m_record.write("runner " + m_traits.m_id + " ends " + task + " run " +
                   std::to_string(what.m_number) + " " + how);
    if (m_on_event) {
        m_on_event({run_event::kind::ended, m_traits.m_id, task, what.m_number, how, at_work});
    }
}

asio::awaitable<void> runner::work()
{
    while (true) {
        co_await pause_for(step);
        if (!m_up) {
            continue;
        }
        std::vector<std::pair<std::string, std::string>> ended;
        for (const auto& [task, what] : m_runs) {
            const bool lasts = m_lasts && m_lasts(task);
            if (what.m_stops_at && *what.m_stops_at <= steady::now()) {
                ended.emplace_back(task, "stopped");
            }
            else if (!lasts && steady::now() - what.m_began_at >= m_traits.m_work) {
                ended.emplace_back(task, "done");
            }
            else if (clock_ms() > m_deadline_ms) {
                ended.emplace_back(task, "lapsed");
            }
        }
        for (const auto& [task, how] : ended) {
            end_run(task, how);
        }
    }
}

bool runner::extend(const json::object& body)
{
    const std::int64_t deadline = number_of(body, "deadline-ms");
    if (deadline <= 0) {
        return true;
    }
    if (deadline <= clock_ms()) {
        return false;
    }
    m_deadline_ms =
        std::max(m_deadline_ms, std::min(deadline, clock_ms() + m_traits.m_max_hold.count()));
    return true;
}

reply runner::start_run(const json::object& body)
{
    const std::string task = text_of(body, "task");
    const std::int64_t number = number_of(body, "run");
    const auto present = m_runs.find(task);
    if (present != m_runs.end() && present->second.m_number == number) {
        return {200, {{"clock-ms", clock_ms()}}};
    }
    if (!extend(body)) {
        return {409, {{"clock-ms", clock_ms()}, {"reason", "late"}}};
    }
    if (present != m_runs.end() || number <= m_highest[task]) {
        return {409, {{"clock-ms", clock_ms()}, {"reason", "old"}}};
    }
    m_runs[task] = {number, steady::now(), std::nullopt};
    m_record.write("runner " + m_traits.m_id + " kind=" + m_kind + " starts " + task + " run " +
                   std::to_string(number) + " token " +
                   std::to_string(number_of(body, "fencing-token")));
    if (m_on_event) {
        m_on_event({run_event::kind::started, m_traits.m_id, task, number, "", false});
    }
    return {200, {{"clock-ms", clock_ms()}}};
}

reply runner::stop_run(const json::object& body)
{
    const std::string task = text_of(body, "task");
    const std::int64_t number = number_of(body, "run");
    const auto present = m_runs.find(task);
    if (present == m_runs.end() || present->second.m_number != number) {
        m_highest[task] = std::max(m_highest[task], number);
        return {200, {{"clock-ms", clock_ms()}}};
    }
    if (!present->second.m_stops_at) {
        present->second.m_stops_at = steady::now() + m_traits.m_stop_time;
        m_record.write("runner " + m_traits.m_id + " is told to stop " + task + " run " +
                       std::to_string(number) + " token " +
                       std::to_string(number_of(body, "fencing-token")));
        if (m_on_event) {
            m_on_event(
                {run_event::kind::stop_ordered, m_traits.m_id, task, number, "", is_at_work(task)});
        }
    }
    return {200, {{"clock-ms", clock_ms()}}};
}

asio::awaitable<reply> runner::hold(request asked)
{
    const std::int64_t acked = number_of(asked.m_body, "acked-through");
    std::erase_if(m_ends, [acked](const end& each) { return each.m_number <= acked; });
    extend(asked.m_body);
    const steady::time_point until =
        steady::now() + milliseconds(number_of(asked.m_body, "wait-ms"));
    const std::int64_t lifetime = m_lifetime;
    while (m_up && lifetime == m_lifetime && m_ends.empty() && steady::now() < until) {
        co_await pause_for(step);
    }
    if (!m_up || lifetime != m_lifetime) {
        co_return reply{};
    }
    json::array running;
    for (const auto& [task, what] : m_runs) {
        running.push_back(json::array{task, what.m_number, "", percent(task, what), 0});
    }
    json::array finished;
    constexpr std::size_t most_ends = 500;
    for (const end& each : m_ends) {
        if (finished.size() == most_ends) {
            break;
        }
        finished.push_back(json::array{each.m_number, each.m_task, each.m_run, each.m_how, ""});
    }
    co_return reply{200,
                    {{"clock-ms", clock_ms()},
                     {"born", m_born_ms},
                     {"running-tasks", std::move(running)},
                     {"finished", std::move(finished)}}};
}

asio::awaitable<reply> runner::answer(request asked)
{
    co_await pause_for(answer_time);
    if (asked.m_instance != m_traits.m_id) {
        co_return reply{421, {}};
    }
    const std::int64_t token = number_of(asked.m_body, "fencing-token");
    if (token < m_fence) {
        co_return reply{409, {{"clock-ms", clock_ms()}, {"reason", "fence"}}};
    }
    m_fence = token;
    if (asked.m_path == "/v1/run-start") {
        co_return start_run(asked.m_body);
    }
    if (asked.m_path == "/v1/run-stop") {
        co_return stop_run(asked.m_body);
    }
    if (asked.m_path == "/v1/hold") {
        co_return co_await hold(std::move(asked));
    }
    co_return reply{200, {{"clock-ms", clock_ms()}}};
}

} // namespace review
