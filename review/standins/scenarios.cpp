#include "scenarios.h"

#include <algorithm>
#include <boost/json.hpp>
#include <csignal>
#include <map>

namespace review {

namespace json = boost::json;

namespace {

/// Bounds of the small sites.
constexpr milliseconds time_budget{3000};
constexpr milliseconds recovery_time{12000};
constexpr milliseconds finish_time{14000};

/// Longest time for which an unfinished submission may have nothing running.
constexpr milliseconds idle_limit{3000};

constexpr std::size_t host_count = 3;

/// Runners of a service; one of them is less than the share that a disruption of runners may take.
constexpr int runner_count = 8;

std::int64_t unix_ms()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

/// Id of a caller's submission.
std::string make_id(unsigned number)
{
    char text[17];
    std::snprintf(text, sizeof text, "5c0e7a21%08x", number);
    return text;
}

/// One step of equal subtasks that take the time in the specification.
json::object make_submission(const std::string& spec, int count, int cpu, int estimate_ms)
{
    const json::object step{
        {"count", count}, {"cpu", cpu}, {"mem-mb", 64}, {"estimate-ms", estimate_ms}};
    return {{"task-spec", spec}, {"steps", json::array{step}}};
}

/// The operator's configuration: a route /NAME/ for each service NAME.
std::string make_config(int version, const std::vector<std::string>& services,
                        const std::string& dropped_route = "")
{
    json::array routes;
    json::array pools;
    for (const std::string& service : services) {
        if (service != dropped_route) {
            routes.emplace_back(json::object{{"name", "r-" + service},
                                             {"host", "jobs.example"},
                                             {"prefix", "/" + service + "/"},
                                             {"kind", "non_idempotent"},
                                             {"timeout-ms", 3000},
                                             {"target-duration-ms", 20000},
                                             {"priority", 0},
                                             {"service", service},
                                             {"max-attempts", 3},
                                             {"stretch-factor", 1.6}});
        }
        pools.emplace_back(
            json::object{{"name", service}, {"enforces-capacity", false}, {"standby", false}});
    }
    const json::object limits{{"max-header-bytes", 16384},
                              {"max-body-bytes", 262144},
                              {"header-timeout-ms", 3000},
                              {"idle-timeout-ms", 15000}};
    return json::serialize(json::object{
        {"version", version}, {"routes", routes}, {"services", pools}, {"limits", limits}});
}

std::vector<std::string> seeds_of(const deployment& place)
{
    std::vector<std::string> seeds;
    seeds.reserve(place.m_hosts.size());
    for (const auto& host : place.m_hosts) {
        seeds.push_back(host->peer_address());
    }
    return seeds;
}

void start_host(deployment& place, entry_host& host)
{
    place.m_log.add("HOST " + host.name() + " starts");
    host.start(place.m_program, place.m_store.address(), seeds_of(place));
}

/// The host that owns a service's shard according to the store; null if there is none.
entry_host* find_owner(deployment& place, const std::string& service)
{
    const std::string value = place.m_store.value("c/owner/" + service);
    const auto found =
        std::find_if(place.m_hosts.begin(), place.m_hosts.end(), [&](const auto& host) {
            return value.find(host->name()) != std::string::npos;
        });
    return found == place.m_hosts.end() ? nullptr : found->get();
}

/// Sends a request to the hosts in turn, once a second, until one answers with one of the statuses
/// that end the attempts, or the time is over.
asio::awaitable<caller_answer> call_until(deployment& place, std::string method, std::string target,
                                          std::string body, milliseconds patience)
{
    const auto end = steady::now() + patience;
    caller_answer answer;
    std::size_t turn = 0;
    do {
        const std::string address = place.m_hosts[turn++ % place.m_hosts.size()]->caller_address();
        answer = co_await call_host(place.m_context, place.m_log, address, method, target, body,
                                    time_budget);
        if (answer.m_status == 200 || answer.m_status == 410) {
            co_return answer;
        }
        co_await pause_for(place.m_context, milliseconds(1000));
    } while (steady::now() < end);
    co_return answer;
}

/// Starts the hosts and the runners of each service; false if the services are not served in time.
asio::awaitable<bool> start_deployment(deployment& place, std::vector<std::string> services)
{
    place.m_store.put("op/config", make_config(1, services));
    for (const std::string& service : services) {
        for (int number = 1; number <= runner_count; ++number) {
            runner::traits traits;
            traits.m_id = "i-" + service + "-" + std::to_string(number);
            traits.m_service = service;
            traits.m_labels = {"a", "r1-" + std::to_string(number)};
            place.m_runners.push_back(std::make_unique<runner>(
                place.m_context, place.m_store, place.m_log, place.m_checker, traits));
        }
    }
    for (std::size_t number = 1; number <= host_count; ++number) {
        place.m_hosts.push_back(
            std::make_unique<entry_host>("host-" + std::to_string(number), place.m_folder));
    }
    for (const auto& host : place.m_hosts) {
        start_host(place, *host);
    }
    for (const std::string& service : services) {
        const caller_answer answer =
            co_await call_until(place, "GET", "/" + service + "/", "", milliseconds(15000));
        if (answer.m_status != 200) {
            co_return false;
        }
    }
    // The owners get the list of runners, and these answer their first calls.
    co_await pause_for(place.m_context, milliseconds(2000));
    co_return true;
}

/// Hands a submission in as a sound caller does; true once it was accepted.
asio::awaitable<bool> submit(deployment& place, std::string service, std::string id,
                             json::object what)
{
    const caller_answer answer = co_await call_until(place, "POST", "/" + service + "/" + id,
                                                     json::serialize(what), milliseconds(10000));
    co_return answer.m_status == 200;
}

/// Waits until a submission is shown as succeeded; false if that takes longer than the limit.
asio::awaitable<bool> wait_succeeded(deployment& place, std::string service, std::string id,
                                     milliseconds limit)
{
    const auto end = steady::now() + limit;
    while (steady::now() < end) {
        const caller_answer answer =
            co_await call_until(place, "GET", "/" + service + "/" + id, "", milliseconds(1));
        if (answer.m_status == 200 && answer.m_body.find("succeeded") != std::string::npos) {
            co_return true;
        }
        co_await pause_for(place.m_context, milliseconds(300));
    }
    co_return false;
}

/// Planned restart of a host: SIGTERM, and the process again once it has ended.
asio::awaitable<void> restart_host(deployment& place, entry_host& host)
{
    place.m_log.add("PLANNED host " + host.name() + " gets SIGTERM");
    host.signal(SIGTERM);
    const auto killed_at = steady::now() + milliseconds(6000);
    while (!host.has_ended()) {
        if (steady::now() > killed_at) {
            host.signal(SIGKILL);
        }
        co_await pause_for(place.m_context, milliseconds(20));
    }
    start_host(place, host);
}

outcome result_of(const deployment& place)
{
    return place.m_log.violations() == 0 ? outcome::held : outcome::broken;
}

/// Submissions at a steady rate until the given time.
asio::awaitable<void> send_traffic(deployment& place, std::string service, milliseconds interval,
                                   milliseconds length, json::object what)
{
    const auto end = steady::now() + length;
    unsigned number = 1;
    while (steady::now() < end) {
        const std::string id = make_id(number);
        const std::string target = "/" + service + "/" + id;
        const std::string address = place.m_hosts[number % place.m_hosts.size()]->caller_address();
        ++number;
        asio::co_spawn(place.m_context,
                       call_host(place.m_context, place.m_log, address, "POST", target,
                                 json::serialize(what), time_budget),
                       asio::detached);
        co_await pause_for(place.m_context, interval);
    }
}

/// A runner crashes and starts again under its id while the store refuses calls.
asio::awaitable<outcome> restart_runner_in_outage(deployment& place)
{
    const std::string service = "alpha";
    const std::vector<std::string> services(1, service);
    if (!co_await start_deployment(place, services)) {
        co_return outcome::not_run;
    }
    asio::co_spawn(place.m_context,
                   send_traffic(place, service, milliseconds(130), milliseconds(60000),
                                make_submission("700", 6, 4000, 700)),
                   asio::detached);
    co_await pause_for(place.m_context, milliseconds(15000));
    if (place.m_runners[0]->ends() == 0) {
        co_return outcome::not_run;
    }
    if (place.m_trouble) {
        place.m_log.add("TROUBLE the store refuses all calls");
        place.m_store.set_down(true);
        co_await pause_for(place.m_context, milliseconds(1000));
        place.m_runners[0]->crash();
        co_await pause_for(place.m_context, milliseconds(1000));
        place.m_runners[0]->restart();
        co_await pause_for(place.m_context, milliseconds(2500));
        place.m_log.add("TROUBLE the store serves again");
        place.m_store.set_down(false);
    }
    co_await pause_for(place.m_context, milliseconds(45000));
    co_return result_of(place);
}

/// Runners crash and are started again at once, one at a time.
asio::awaitable<outcome> restart_runners(deployment& place)
{
    const std::string service = "alpha";
    const std::vector<std::string> services(1, service);
    if (!co_await start_deployment(place, services)) {
        co_return outcome::not_run;
    }
    asio::co_spawn(place.m_context,
                   send_traffic(place, service, milliseconds(250), milliseconds(90000),
                                make_submission("700", 6, 1000, 700)),
                   asio::detached);
    co_await pause_for(place.m_context, milliseconds(5000));
    constexpr int crash_count = 14;
    for (int number = 0; number < crash_count; ++number) {
        const auto busiest = std::max_element(
            place.m_runners.begin(), place.m_runners.end(),
            [](const auto& left, const auto& right) { return left->active() < right->active(); });
        if (place.m_trouble) {
            (*busiest)->crash();
        }
        co_await pause_for(place.m_context, milliseconds(700));
        if (place.m_trouble) {
            (*busiest)->restart();
        }
        co_await pause_for(place.m_context, milliseconds(5350));
    }
    co_return result_of(place);
}

/// A planned restart of the owner while a runner of a scheduled submission is cut off.
asio::awaitable<outcome> hand_over_scheduled_work(deployment& place)
{
    const std::string service = "alpha";
    const std::vector<std::string> services(1, service);
    if (!co_await start_deployment(place, services)) {
        co_return outcome::not_run;
    }
    const std::string id = make_id(1);
    json::object scheduled = make_submission("20000", 1, 1000, 20000);
    scheduled["repeat-count"] = 1;
    scheduled["start-at-ms"] = unix_ms() + 1000;
    scheduled["interval-ms"] = 1000;
    if (!co_await submit(place, service, id, scheduled)) {
        co_return outcome::not_run;
    }
    co_await pause_for(place.m_context, milliseconds(4000));
    const auto at_work = std::find_if(place.m_runners.begin(), place.m_runners.end(),
                                      [&](const auto& each) { return each->is_running(id); });
    entry_host* owner = find_owner(place, service);
    if (at_work == place.m_runners.end() || owner == nullptr) {
        co_return outcome::not_run;
    }
    if (place.m_trouble) {
        (*at_work)->set_cut(true);
    }
    co_await pause_for(place.m_context, milliseconds(200));
    asio::co_spawn(place.m_context, restart_host(place, *owner), asio::detached);
    co_await pause_for(place.m_context, milliseconds(5000));
    if (place.m_trouble) {
        (*at_work)->set_cut(false);
    }
    co_await pause_for(place.m_context, milliseconds(5000));
    if (!place.m_checker.has_started(id)) {
        co_return outcome::not_run;
    }
    co_return result_of(place);
}

/// The store refuses calls shortly after a planned restart of a host.
asio::awaitable<outcome> fail_store_after_restart(deployment& place)
{
    const std::vector<std::string> services{"alpha", "beta", "gamma"};
    if (!co_await start_deployment(place, services)) {
        co_return outcome::not_run;
    }
    std::map<std::string, std::string> submitted;
    for (const std::string& service : services) {
        const std::string id = make_id(static_cast<unsigned>(submitted.size() + 1));
        submitted[service] = id;
        if (!co_await submit(place, service, id, make_submission("300", 4, 1000, 300)) ||
            !co_await wait_succeeded(place, service, id, milliseconds(10000))) {
            co_return outcome::not_run;
        }
    }
    entry_host& host = *place.m_hosts.back();
    co_await restart_host(place, host);
    const auto joined_by = steady::now() + milliseconds(10000);
    while (place.m_store.value("c/member/" + host.name()).empty()) {
        if (steady::now() > joined_by) {
            co_return outcome::not_run;
        }
        co_await pause_for(place.m_context, milliseconds(50));
    }
    co_await pause_for(place.m_context, milliseconds(1500));
    if (place.m_trouble) {
        place.m_log.add("TROUBLE the store refuses all calls");
        place.m_store.set_down(true);
    }
    co_await pause_for(place.m_context, milliseconds(4500));
    if (place.m_trouble) {
        place.m_log.add("TROUBLE the store serves again");
        place.m_store.set_down(false);
    }
    co_await pause_for(place.m_context, std::max(recovery_time, finish_time));
    for (const auto& [service, id] : submitted) {
        const caller_answer answer =
            co_await call_until(place, "GET", "/" + service + "/" + id, "", milliseconds(8000));
        if (answer.m_status != 200 || answer.m_body.find("succeeded") == std::string::npos) {
            place.m_log.add_violation("LOST", "the accepted submission " + id + " of " + service +
                                                  " has no known state, last answer " +
                                                  std::to_string(answer.m_status));
            // Shows that new work is refused as well; not part of the check.
            co_await call_until(place, "POST", "/" + service + "/" + make_id(100),
                                json::serialize(make_submission("300", 4, 1000, 300)),
                                milliseconds(3000));
        }
    }
    co_return result_of(place);
}

/// A route is dropped and restored; the owner is restarted in between.
asio::awaitable<outcome> restore_route(deployment& place)
{
    const std::string service = "alpha";
    const std::vector<std::string> services{service, "beta"};
    if (!co_await start_deployment(place, services)) {
        co_return outcome::not_run;
    }
    const std::string id = make_id(1);
    if (!co_await submit(place, service, id, make_submission("fails-once 6000", 1, 1000, 6000))) {
        co_return outcome::not_run;
    }
    co_await pause_for(place.m_context, milliseconds(1000));
    entry_host* owner = find_owner(place, service);
    if (owner == nullptr || !place.m_checker.has_started(id)) {
        co_return outcome::not_run;
    }
    if (place.m_trouble) {
        place.m_log.add("PLANNED the route /alpha/ is dropped");
        place.m_store.put("op/config", make_config(2, services, service));
    }
    co_await pause_for(place.m_context, milliseconds(2500));
    asio::co_spawn(place.m_context, restart_host(place, *owner), asio::detached);
    co_await pause_for(place.m_context, milliseconds(6000));
    if (place.m_trouble) {
        place.m_log.add("PLANNED the route /alpha/ is restored");
        place.m_store.put("op/config", make_config(3, services));
    }
    co_await pause_for(place.m_context, milliseconds(5000));
    const caller_answer answer =
        co_await call_until(place, "GET", "/" + service + "/" + id, "", milliseconds(5000));
    if (answer.m_body.find("failed") != std::string::npos) {
        place.m_log.add_violation("LOST", "the submission " + id +
                                              " is shown as failed after 1 of 3 attempts");
    }
    co_return result_of(place);
}

/// A lasting subtask ends while its runner is cut off, and the runner comes back later.
asio::awaitable<outcome> end_lasting_task_behind_cut(deployment& place)
{
    const std::string service = "alpha";
    const std::vector<std::string> services(1, service);
    if (!co_await start_deployment(place, services)) {
        co_return outcome::not_run;
    }
    const std::string id = make_id(1);
    json::object lasting = make_submission("ends-once 6000", 1, 1000, 1000);
    json::object& step = lasting["steps"].as_array().front().as_object();
    step["long-running"] = true;
    step["max-unavailable"] = 1;
    if (!co_await submit(place, service, id, lasting)) {
        co_return outcome::not_run;
    }
    co_await pause_for(place.m_context, milliseconds(5000));
    const auto at_work = std::find_if(place.m_runners.begin(), place.m_runners.end(),
                                      [&](const auto& each) { return each->is_running(id); });
    if (at_work == place.m_runners.end()) {
        co_return outcome::not_run;
    }
    if (place.m_trouble) {
        (*at_work)->set_cut(true);
    }
    co_await pause_for(place.m_context, milliseconds(5300));
    if (place.m_trouble) {
        (*at_work)->set_cut(false);
    }
    co_await pause_for(place.m_context, milliseconds(6000));
    co_return result_of(place);
}

/// A caller gives up on its submission and cancels it while the store is slow; the owner loses
/// power right after it has confirmed the cancellation.
asio::awaitable<outcome> kill_owner_after_cancel(deployment& place)
{
    const std::string service = "alpha";
    const std::vector<std::string> services(1, service);
    if (!co_await start_deployment(place, services)) {
        co_return outcome::not_run;
    }
    entry_host* owner = find_owner(place, service);
    if (owner == nullptr) {
        co_return outcome::not_run;
    }
    const std::string id = make_id(1);
    const std::string target = "/" + service + "/" + id;
    const std::string body = json::serialize(make_submission("20000", 4, 1000, 20000));
    if (place.m_trouble) {
        place.m_log.add("TROUBLE the store is slow: its answers take 97 times as long");
        place.m_store.set_delay(milliseconds(390));
    }
    co_await pause_for(place.m_context, milliseconds(1000));
    // The caller leaves after half of its objective of 600 ms and cancels.
    asio::co_spawn(place.m_context,
                   call_host(place.m_context, place.m_log, owner->caller_address(), "POST", target,
                             body, milliseconds(300)),
                   asio::detached);
    co_await pause_for(place.m_context, milliseconds(300));
    const caller_answer cancelled = co_await call_host(
        place.m_context, place.m_log, owner->caller_address(), "DELETE", target, "", time_budget);
    if (place.m_trouble) {
        place.m_log.add("TROUBLE the owner " + owner->name() + " loses power");
        owner->signal(SIGKILL);
    }
    if (cancelled.m_status != 200) {
        co_return outcome::not_run;
    }
    co_await pause_for(place.m_context, milliseconds(3000));
    if (place.m_trouble) {
        place.m_log.add("TROUBLE the store answers in time again");
        place.m_store.set_delay(milliseconds(4));
        if (owner->has_ended()) {
            start_host(place, *owner);
        }
    }
    // Far beyond cancel_ms, contact-ms and stop-ms.
    co_await pause_for(place.m_context, milliseconds(12000));
    for (const auto& each : place.m_runners) {
        if (each->is_running(id)) {
            place.m_log.add_violation("UNASKED", "the submission " + id + " runs on " + each->id() +
                                                     " 15 s after its cancelling was confirmed");
        }
    }
    co_return result_of(place);
}

/// A gang ends while the runner of one member is cut off, and that runner crashes behind the cut.
asio::awaitable<outcome> finish_gang_behind_cut(deployment& place)
{
    const std::string service = "alpha";
    const std::vector<std::string> services(1, service);
    if (!co_await start_deployment(place, services)) {
        co_return outcome::not_run;
    }
    const std::string id = make_id(1);
    // Each runner has room for one member.
    json::object what = make_submission("gang 2 3000", 2, 10000, 3000);
    json::array& steps = what["steps"].as_array();
    steps.front().as_object()["gang"] = true;
    steps.push_back(json::object{{"count", 1},
                                 {"cpu", 1000},
                                 {"mem-mb", 64},
                                 {"estimate-ms", 3000},
                                 {"after", json::array{0}}});
    if (!co_await submit(place, service, id, what)) {
        co_return outcome::not_run;
    }
    co_await pause_for(place.m_context, milliseconds(2000));
    const auto at_work = std::find_if(place.m_runners.rbegin(), place.m_runners.rend(),
                                      [&](const auto& each) { return each->is_running(id); });
    if (at_work == place.m_runners.rend()) {
        co_return outcome::not_run;
    }
    if (place.m_trouble) {
        (*at_work)->set_cut(true);
    }
    co_await pause_for(place.m_context, milliseconds(3000));
    if (place.m_trouble) {
        (*at_work)->crash();
    }
    co_await pause_for(place.m_context, milliseconds(2000));
    if (place.m_trouble) {
        (*at_work)->restart();
        (*at_work)->set_cut(false);
    }
    co_await pause_for(place.m_context, finish_time);
    bool ran = false;
    const auto end = steady::now() + idle_limit;
    while (steady::now() < end) {
        for (const auto& each : place.m_runners) {
            ran = ran || each->is_running(id);
        }
        co_await pause_for(place.m_context, milliseconds(20));
    }
    const caller_answer answer =
        co_await call_until(place, "GET", "/" + service + "/" + id, "", milliseconds(5000));
    if (!ran && answer.m_body.find("succeeded") == std::string::npos) {
        place.m_log.add_violation("LOST", "nothing of the submission " + id +
                                              " runs for 3 s, and it isn't finished");
    }
    co_return result_of(place);
}

} // namespace

deployment::deployment(asio::io_context& context, record& log, std::string program,
                       std::string folder, bool trouble)
    : m_context(context), m_log(log), m_program(std::move(program)), m_folder(std::move(folder)),
      m_trouble(trouble), m_store(context), m_checker(log)
{
}

asio::awaitable<outcome> run_scenario(deployment& place, std::string name)
{
    if (name == "restart-runner-in-outage") {
        co_return co_await restart_runner_in_outage(place);
    }
    if (name == "hand-over-scheduled-work") {
        co_return co_await hand_over_scheduled_work(place);
    }
    if (name == "fail-store-after-restart") {
        co_return co_await fail_store_after_restart(place);
    }
    if (name == "restore-route") {
        co_return co_await restore_route(place);
    }
    if (name == "end-lasting-task-behind-cut") {
        co_return co_await end_lasting_task_behind_cut(place);
    }
    if (name == "kill-owner-after-cancel") {
        co_return co_await kill_owner_after_cancel(place);
    }
    if (name == "restart-runners") {
        co_return co_await restart_runners(place);
    }
    if (name == "finish-gang-behind-cut") {
        co_return co_await finish_gang_behind_cut(place);
    }
    co_return outcome::not_run;
}

} // namespace review
