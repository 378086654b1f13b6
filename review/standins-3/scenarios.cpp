#include "scenarios.h"

#include <csignal>

namespace review {

namespace {

constexpr milliseconds client_timeout{3000};
constexpr milliseconds poll{10};

/// Adds and starts runners of a rack, named PREFIX1 and so on, on machines of their own.
void add_rack(installation& place, const std::string& prefix, const std::string& rack,
              std::size_t count, const runner_traits& common)
{
    for (std::size_t i = 1; i <= count; ++i) {
        runner_traits traits = common;
        traits.m_id = prefix + std::to_string(i);
        traits.m_machine = "m-" + traits.m_id;
        traits.m_rack = rack;
        traits.m_service = common.m_service.empty() ? "pool-1" : common.m_service;
        runner& added = place.add_runner(traits);
        place.m_cloud.add(added);
        added.start("a");
    }
}

/// Waits until a condition holds; false if it does not in time.
asio::awaitable<bool> wait_until(std::function<bool()> holds, milliseconds longest)
{
    const steady::time_point end = steady::now() + longest;
    while (!holds()) {
        if (steady::now() > end) {
            co_return false;
        }
        co_await pause_for(poll);
    }
    co_return true;
}

/// Number of runners on which a subtask is at work.
std::size_t count_at_work(const installation& place, const std::string& task)
{
    return static_cast<std::size_t>(
        std::count_if(place.m_runners.begin(), place.m_runners.end(),
                      [&](const auto& each) { return each->is_at_work(task); }));
}

/// Checks the rule AVAIL for a step of which one subtask may be unavailable.
class availability_check {
public:
    explicit availability_check(installation& place) : m_place(place) {}

    /// Takes note of what happens on a runner, all of whose subtasks last.
    void watch(runner& source)
    {
        source.m_lasts = [](const std::string& /*task*/) { return true; };
        source.m_on_event = [this, &source](const run_event& event) { note(source, event); };
    }

    bool m_broken = false;
    std::size_t m_moves = 0;

private:
    void note(const runner& source, const run_event& event)
    {
        if (event.m_kind != run_event::kind::ended || event.m_how != "stopped") {
            return;
        }
        std::size_t away = 0;
        for (const std::string& other : m_ended_by_order) {
            away += other != event.m_task && count_at_work(m_place, other) == 0 ? 1 : 0;
        }
        m_ended_by_order.insert(event.m_task);
        ++m_moves;
        if (event.m_at_work && !source.is_draining() && away >= 1) {
            m_broken = true;
            m_place.m_record.write("AVAIL broken: " + event.m_task + " was at work on " +
                                   event.m_runner + ", " + std::to_string(away) +
                                   " other of its step is away, ended by an order");
        }
    }

    installation& m_place;
    std::set<std::string> m_ended_by_order;
};

void write_wave(installation& place, std::int64_t number, const json::array& machines,
                std::int64_t cap, std::int64_t duration_s)
{
    const json::object wave{
        {"wave", number}, {"machines", machines}, {"duration-s", duration_s}, {"cap", cap}};
    place.m_record.write("operator writes op/wave/" + std::to_string(number) + " " +
                         json::serialize(wave));
    place.m_store.put("op/wave/" + std::to_string(number), json::serialize(wave));
}

/// A submission of 256 steps, each after all earlier ones, that no runner may run.
json::object make_large_submission()
{
    constexpr int steps = 256;
    json::array list;
    for (int i = 0; i < steps; ++i) {
        json::array after;
        for (int earlier = 0; earlier < i; ++earlier) {
            after.push_back(earlier);
        }
        list.push_back(json::object{{"count", 1},
                                    {"cpu", 1000},
                                    {"estimate-ms", 1},
                                    {"requirements", "other"},
                                    {"after", std::move(after)}});
    }
    return {{"task-spec", "large"}, {"steps", std::move(list)}};
}

} // namespace

asio::awaitable<int> run_new_kind(installation& place, bool has_trouble)
{
    runner_traits common;
    common.m_work = milliseconds(1000);
    constexpr std::size_t others = 4;
    constexpr std::size_t rack = 8;
    add_rack(place, "s", "r1", others, common);
    add_rack(place, "t", "r2", rack, common);
    bool broken = false;
    std::size_t starts = 0;
    for (const auto& each : place.m_runners) {
        const runner* source = each.get();
        each->m_on_event = [&, source](const run_event& event) {
            if (event.m_kind != run_event::kind::started) {
                return;
            }
            ++starts;
            if (source->kind() != "a") {
                broken = true;
                place.m_record.write("ROUTE broken: " + event.m_task + " needs kind a, runner " +
                                     event.m_runner + " is of kind " + source->kind());
            }
        };
    }
    place.configure(3, "pool-1");
    if (!co_await place.start(3)) {
        co_return could_not_run;
    }
    const json::object step{{"count", 400},
                            {"cpu", 1000},
                            {"mem-mb", 256},
                            {"estimate-ms", 1000},
                            {"requirements", "a"}};
    const json::object body{{"task-spec", "work"}, {"steps", json::array{step}}};
    const unsigned status =
        co_await place.submit(place.m_hosts.front(), "00000000000000bb", body, client_timeout);
    if (status != 200 || !co_await wait_until([&] { return starts >= 60; }, milliseconds(6000))) {
        co_return could_not_run;
    }
    if (has_trouble) {
        constexpr milliseconds down_time{1500};
        constexpr milliseconds start_spread{30};
        for (std::size_t i = others; i < place.m_runners.size(); ++i) {
            place.m_runners[i]->crash();
        }
        co_await pause_for(down_time);
        for (std::size_t i = others; i < place.m_runners.size(); ++i) {
            place.m_runners[i]->start("b");
            co_await pause_for(start_spread);
        }
    }
    co_await pause_for(milliseconds(4000));
    co_return broken ? rule_broken : rule_held;
}

asio::awaitable<int> run_two_waves(installation& place, bool has_trouble)
{
    const runner_traits common;
    add_rack(place, "s", "r1", 4, common);
    place.m_has_machines = true;
    place.configure(3, "pool-1");
    if (!co_await place.start(3)) {
        co_return could_not_run;
    }
    const auto end_trouble = [&]() -> asio::awaitable<void> {
        co_await pause_for(milliseconds(500));
        place.m_cloud.m_trouble = cloud::trouble::none;
        place.m_record.write("machines: calls are answered again");
    };
    place.m_cloud.m_on_upkeep = [&](std::int64_t /*wave*/, const std::string& /*machine*/) {
        place.m_cloud.m_on_upkeep = nullptr;
        if (has_trouble) {
            place.m_record.write("machines: calls are reset for 500 ms");
            place.m_cloud.m_trouble = cloud::trouble::reset;
            asio::co_spawn(place.m_context, end_trouble(), asio::detached);
        }
    };
    const std::string machine = place.m_runners.front()->traits().m_machine;
    write_wave(place, 1, {json::value(machine)}, 1, 20);
    write_wave(place, 2, {json::value(machine)}, 1, 20);
    bool broken = false;
    const auto is_over = [&] {
        std::size_t succeeded = 0;
        for (const std::int64_t wave : {1, 2}) {
            const bool said =
                place.m_store.get("status/wave/" + std::to_string(wave)).find("succeeded") !=
                std::string::npos;
            succeeded += said ? 1 : 0;
            if (said && !place.m_cloud.has_begun(wave, machine) && !broken) {
                broken = true;
                place.m_record.write("MIXED broken: status/wave/" + std::to_string(wave) +
                                     " says succeeded and " + machine +
                                     " has not begun its upkeep for it");
            }
        }
        return succeeded == 2;
    };
    const bool both = co_await wait_until(is_over, milliseconds(20000));
    co_await pause_for(milliseconds(3000));
    if (broken) {
        place.m_record.write(machine + (place.m_cloud.has_begun(1, machine) ? " has" : " has not") +
                             " begun its upkeep for wave 1 and" +
                             (place.m_cloud.has_begun(2, machine) ? " has" : " has not") +
                             " begun it for wave 2");
        co_return rule_broken;
    }
    co_return both ? rule_held : could_not_run;
}

asio::awaitable<int> run_false_refusal(installation& place, bool has_trouble)
{
    const runner_traits common;
    add_rack(place, "s", "r1", 4, common);
    const std::string id = "00000000000000cc";
    bool started = false;
    for (const auto& each : place.m_runners) {
        each->m_on_event = [&](const run_event& event) {
            started = started || event.m_task.starts_with(id);
        };
    }
    place.configure(3, "pool-1");
    if (!co_await place.start(3)) {
        co_return could_not_run;
    }
    host* owner = place.named_in("c/owner/pool-1");
    const auto entry = std::find_if(place.m_hosts.begin(), place.m_hosts.end(),
                                    [owner](const host& each) { return &each != owner; });
    const json::object step{{"count", 1}, {"cpu", 1000}, {"estimate-ms", 1000}};
    const json::object small{{"task-spec", "work"}, {"steps", json::array{step}}};
    // Opens the connection between the two hosts.
    const unsigned first = co_await place.submit(*entry, "00000000000000c0", small, client_timeout);
    if (first != 200) {
        co_return could_not_run;
    }
    constexpr milliseconds freeze_time{1000};
    constexpr milliseconds before_small{250};
    constexpr milliseconds small_timeout{700};
    constexpr int large_count = 40;
    const auto freeze = [&]() -> asio::awaitable<void> {
        place.signal_host(*owner, SIGSTOP);
        co_await pause_for(freeze_time);
        place.signal_host(*owner, SIGCONT);
    };
    if (has_trouble) {
        asio::co_spawn(place.m_context, freeze(), asio::detached);
    }
    const json::object large = make_large_submission();
    for (int i = 0; i < large_count; ++i) {
        const auto send = [&place, &entry, &large](int number) -> asio::awaitable<void> {
            co_await place.submit(*entry, "0000000000000d" + std::to_string(10 + number), large,
                                  client_timeout);
        };
        asio::co_spawn(place.m_context, send(i), asio::detached);
    }
    co_await pause_for(before_small);
    const unsigned status = co_await place.submit(*entry, id, small, small_timeout);
    co_await pause_for(milliseconds(6000));
    const bool refused = status == 429 || status == 503;
    if (refused && started) {
        place.m_record.write("REFUSED broken: " + id + " was answered " + std::to_string(status) +
                             " and has run");
        co_return rule_broken;
    }
    co_return rule_held;
}

asio::awaitable<int> run_moved_queue(installation& place, bool has_trouble)
{
    runner_traits common;
    common.m_work = milliseconds(9000);
    add_rack(place, "s", "r1", 3, common);
    common.m_service = "pool-2";
    add_rack(place, "t", "r2", 3, common);
    const std::string id = "00000000000000dd";
    std::multiset<std::string> running;
    bool broken = false;
    for (const auto& each : place.m_runners) {
        each->m_on_event = [&](const run_event& event) {
            if (event.m_kind == run_event::kind::started) {
                running.insert(event.m_task);
            }
            else if (event.m_kind == run_event::kind::ended) {
                running.extract(event.m_task);
            }
            if (running.count(event.m_task) > 1) {
                broken = true;
                place.m_record.write("TWICE broken: " + event.m_task +
                                     " has two runs at the same time");
            }
        };
    }
    place.configure(3, "pool-1");
    if (!co_await place.start(3)) {
        co_return could_not_run;
    }
    const json::object step{{"count", 4}, {"cpu", 1000}, {"estimate-ms", 9000}};
    const json::object body{{"task-spec", "work"}, {"steps", json::array{step}}};
    const unsigned first = co_await place.submit(place.m_hosts.front(), id, body, client_timeout);
    if (first != 200 ||
        !co_await wait_until([&] { return running.size() == 4; }, milliseconds(4000))) {
        co_return could_not_run;
    }
    if (has_trouble) {
        place.configure(5, "pool-2");
    }
    // Later than config-apply-ms and visible_ms after the confirmation.
    co_await pause_for(milliseconds(3500));
    for (host& each : place.m_hosts) {
        const reply told =
            co_await call(each.m_callers, "GET", "work.example", "/work/" + id, "", client_timeout);
        place.m_record.write("client gets " + std::to_string(told.m_status) + " " +
                             json::serialize(told.m_body) + " for GET /work/" + id + " at " +
                             each.m_name);
        if (told.m_status == 410) {
            broken = true;
            place.m_record.write("LOST broken: an accepted submission is answered 410");
        }
    }
    place.m_record.write("a copy of the request arrives after its 2xx response");
    co_await place.submit(place.m_hosts.back(), id, body, client_timeout);
    co_await pause_for(milliseconds(3000));
    co_return broken ? rule_broken : rule_held;
}

asio::awaitable<int> run_drain_beside_wave(installation& place, bool has_trouble)
{
    constexpr std::size_t lasting = 5;
    runner_traits common;
    add_rack(place, "s", "r1", lasting, common);
    place.m_has_machines = true;
    availability_check check(place);
    for (const auto& each : place.m_runners) {
        check.watch(*each);
    }
    place.configure(3, "pool-1");
    if (!co_await place.start(3)) {
        co_return could_not_run;
    }
    const json::object step{{"count", lasting},     {"cpu", 3000},          {"mem-mb", 256},
                            {"long-running", true}, {"max-unavailable", 1}, {"anti-affinity", 1}};
    const json::object body{{"task-spec", "serve"}, {"steps", json::array{step}}};
    const unsigned status =
        co_await place.submit(place.m_hosts.front(), "00000000000000aa", body, client_timeout);
    const auto all_at_work = [&] {
        std::size_t count = 0;
        for (std::size_t i = 0; i < lasting; ++i) {
            count += count_at_work(place, "00000000000000aa.0.0." + std::to_string(i));
        }
        return count == lasting;
    };
    if (status != 200 || !co_await wait_until(all_at_work, milliseconds(8000))) {
        co_return could_not_run;
    }
    write_wave(place, 1, {json::value(place.m_runners.front()->traits().m_machine)}, 1, 26);
    if (has_trouble) {
        place.m_runners.back()->set_stop_time(milliseconds(200));
        place.m_runners.back()->drain();
    }
    co_await pause_for(milliseconds(800));
    runner_traits joining = common;
    joining.m_id = "u1";
    joining.m_machine = "m-u1";
    joining.m_rack = "r1";
    joining.m_service = "pool-1";
    runner& added = place.add_runner(joining);
    place.m_cloud.add(added);
    check.watch(added);
    added.start("a");
    co_await pause_for(milliseconds(8000));
    if (check.m_moves == 0) {
        co_return could_not_run;
    }
    co_return check.m_broken ? rule_broken : rule_held;
}

asio::awaitable<int> run_waiting_owners(installation& place, bool has_trouble)
{
    constexpr std::size_t lasting = 3;
    const runner_traits common;
    add_rack(place, "s", "r1", lasting + 1, common);
    place.m_has_machines = true;
    for (const auto& each : place.m_runners) {
        each->m_lasts = [](const std::string& /*task*/) { return true; };
    }
    place.configure(3, "pool-1");
    if (!co_await place.start(4)) {
        co_return could_not_run;
    }
    const json::object step{{"count", lasting},     {"cpu", 3000},          {"mem-mb", 256},
                            {"long-running", true}, {"max-unavailable", 1}, {"anti-affinity", 1}};
    const json::object body{{"task-spec", "serve"}, {"steps", json::array{step}}};
    const unsigned status =
        co_await place.submit(place.m_hosts.front(), "00000000000000aa", body, client_timeout);
    const auto name_of = [](std::size_t i) { return "00000000000000aa.0.0." + std::to_string(i); };
    const auto runs = [&](const std::string& task) {
        return std::any_of(place.m_runners.begin(), place.m_runners.end(), [&](const auto& each) {
            const std::vector<std::string> tasks = each->tasks();
            return std::find(tasks.begin(), tasks.end(), task) != tasks.end();
        });
    };
    const auto all_run = [&] {
        std::size_t count = 0;
        for (std::size_t i = 0; i < lasting; ++i) {
            count += count_at_work(place, name_of(i));
        }
        return count == lasting;
    };
    if (status != 200 || !co_await wait_until(all_run, milliseconds(8000))) {
        co_return could_not_run;
    }
    // The idle runner's machine and one with a subtask are due.
    json::array due;
    for (const auto& each : place.m_runners) {
        if (each->tasks().empty()) {
            due.push_back(json::value(each->traits().m_machine));
        }
    }
    due.push_back(json::value(place.m_runners.front()->traits().m_machine));
    bool began = false;
    place.m_cloud.m_on_upkeep = [&](std::int64_t /*wave*/, const std::string& /*machine*/) {
        began = true;
    };
    write_wave(place, 1, due, 1, 26);
    if (!co_await wait_until([&] { return began; }, milliseconds(5000))) {
        co_return could_not_run;
    }
    if (has_trouble) {
        co_await pause_for(milliseconds(200));
        asio::co_spawn(place.m_context, place.kill_host(*place.named_in("c/owner/pool-1")),
                       asio::detached);
    }
    // A subtask is stopped so that its machine can be maintained.
    const auto any_stopped = [&] {
        return !runs(name_of(0)) || !runs(name_of(1)) || !runs(name_of(2));
    };
    if (!co_await wait_until(any_stopped, milliseconds(20000))) {
        co_return could_not_run;
    }
    steady::time_point calm_since = steady::now();
    if (has_trouble) {
        co_await pause_for(milliseconds(3000));
        host* owner = place.named_in("c/owner/pool-1");
        if (owner == nullptr) {
            co_return could_not_run;
        }
        calm_since = steady::now();
        place.m_record.write("planned restart of the pool's owner; nothing else happens from now");
        asio::co_spawn(place.m_context, place.restart_host(*owner), asio::detached);
    }
    // The rule: 4 s of calm, and 3 s more in which a subtask does not run with room for it.
    constexpr milliseconds calm_before{4000};
    constexpr milliseconds longest_gap{3000};
    std::map<std::string, steady::time_point> missing_since;
    bool broken = false;
    const steady::time_point end = steady::now() + milliseconds(14000);
    while (steady::now() < end) {
        for (std::size_t i = 0; i < lasting; ++i) {
            const std::string task = name_of(i);
            if (runs(task) || steady::now() < calm_since + calm_before) {
                missing_since.erase(task);
                continue;
            }
            const auto since = missing_since.try_emplace(task, steady::now()).first->second;
            if (!broken && steady::now() - since > longest_gap) {
                broken = true;
                place.m_record.write("LOST broken: " + task +
                                     " does not run for 3 s after 4 s of "
                                     "calm, with two idle runners");
            }
        }
        co_await pause_for(poll);
    }
    co_return broken ? rule_broken : rule_held;
}

asio::awaitable<int> run_split_record(installation& place, bool has_trouble)
{
    constexpr std::size_t submissions = 480;
    constexpr milliseconds interval{15};
    runner_traits common;
    common.m_cpu = 16000;
    common.m_work = milliseconds(40000);
    add_rack(place, "s", "r1", 4, common);
    add_rack(place, "t", "r2", 4, common);
    add_rack(place, "u", "r3", 4, common);
    std::set<std::string> failed;
    std::size_t starts = 0;
    bool broken = false;
    for (const auto& each : place.m_runners) {
        each->m_on_event = [&](const run_event& event) {
            if (event.m_kind == run_event::kind::ended && event.m_how == "failed") {
                failed.insert(event.m_task);
            }
            if (event.m_kind != run_event::kind::started) {
                return;
            }
            ++starts;
            if (failed.contains(event.m_task)) {
                broken = true;
                place.m_record.write("BUDGET broken: " + event.m_task +
                                     " starts again, its only attempt has failed");
            }
        };
    }
    place.configure(3, "pool-1", 1);
    if (!co_await place.start(3)) {
        co_return could_not_run;
    }
    bool killed = false;
    place.m_store.m_on_commit = [&](const std::string& key, std::size_t bytes) {
        constexpr std::size_t long_record = 20000;
        if (!key.starts_with("l/pool-1/") || failed.empty()) {
            return;
        }
        place.m_record.write("the store has written " + key + ", " + std::to_string(bytes) +
                             " bytes");
        if (!has_trouble || killed || bytes < long_record) {
            return;
        }
        killed = true;
        asio::co_spawn(place.m_context, place.kill_host(*place.named_in("c/owner/pool-1")),
                       asio::detached);
    };
    const json::object step{{"count", 1}, {"cpu", 20}, {"mem-mb", 1}, {"estimate-ms", 9000}};
    const json::object body{{"task-spec", "work"}, {"steps", json::array{step}}};
    std::size_t accepted = 0;
    for (std::size_t i = 0; i < submissions; ++i) {
        const auto send = [&place, &body, &accepted](std::size_t number) -> asio::awaitable<void> {
            const std::string id = "0000000000" + std::to_string(100000 + number);
            const unsigned status =
                co_await place.submit(place.m_hosts.front(), id, body, client_timeout);
            accepted += status == 200 ? 1 : 0;
        };
        asio::co_spawn(place.m_context, send(i), asio::detached);
        co_await pause_for(interval);
    }
    if (!co_await wait_until([&] { return starts >= submissions; }, milliseconds(8000))) {
        co_return could_not_run;
    }
    co_await pause_for(milliseconds(1000));
    const auto busiest = std::max_element(place.m_runners.begin(), place.m_runners.end(),
                                          [](const auto& left, const auto& right) {
                                              return left->tasks().size() < right->tasks().size();
                                          });
    place.m_record.write("runner " + (*busiest)->traits().m_id + " fails the " +
                         std::to_string((*busiest)->tasks().size()) + " subtasks that it runs");
    (*busiest)->fail_all();
    co_await pause_for(milliseconds(16000));
    if (has_trouble && !killed) {
        co_return could_not_run;
    }
    co_return broken ? rule_broken : rule_held;
}

} // namespace review
