#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

#include "support/virtual_pool.h"

namespace guavabay {

namespace {

constexpr resources worker_size{16000, 32768, 0};
constexpr resources small_task{2000, 1000, 0};
constexpr milliseconds time_step{10};

/// How long a worker delays its answer to a hold that renews a lease, with and without runs.
constexpr milliseconds wait_with_runs{300};
constexpr milliseconds wait_idle{900};

/// Longest time between two stop orders for a run that its worker lists.
constexpr milliseconds max_stop_gap{2200};

/// Longest time from the end of all disturbances to the first stop order. The platform wants the
/// run gone after a calm time of this length and the time that a stop takes.
constexpr milliseconds max_first_stop{3000};

/// The Unix time at a moment of the virtual clock.
wall_time unix_time_at(time_point now)
{
    return wall_time(std::chrono::duration_cast<milliseconds>(now.time_since_epoch()) +
                     seconds(1700000000));
}

/// An owner whose only worker lists a run of a cancelled submission, whatever the owner orders.
struct lasting_run {
    explicit lasting_run(std::uint64_t seed) : m_random(seed)
    {
        m_state.m_service = service_id("s");
        m_state.m_token = fencing_token(5);
        m_state.m_next_run = 5LL << 20U;
        m_state.m_may_start = true;
        m_state.m_may_hold = true;
        finish_replay(m_state, m_now, unix_time_at(m_now));
        m_listing.m_id = worker_id("w");
        m_listing.m_machine = machine_id("m");
        m_listing.m_address = "10.0.0.1:80";
        m_listing.m_service = m_state.m_service;
        m_listing.m_labels = {"a", "r"};
        m_listing.m_capacity = worker_size;
        m_listing.m_incarnation_start_ms = 1000;
        update_worker(m_state, m_listing, m_now);
        step_for(milliseconds(500));
        submission work = make_submission({1}, small_task, milliseconds(1000));
        work.m_steps[0].m_long_running = true;
        admit(m_state, m_id, queue_id("q"), work, m_now, unix_time_at(m_now));
        step_for(milliseconds(500));
    }

    int pick(int low, int high) { return std::uniform_int_distribution<int>(low, high)(m_random); }

    /// Cancels the submission; the cancellation is stored at once.
    void cancel_submission()
    {
        REQUIRE(cancel(m_state, m_id));
        store_entries();
    }

    void store_entries()
    {
        if (const std::optional<log_batch> batch = take_batch(m_state)) {
            mark_batch_stored(m_state, *batch, unix_time_at(m_now));
        }
    }

    void step_for(milliseconds length)
    {
        for (const time_point end = m_now + length; m_now < end;) {
            step();
        }
    }

    void step()
    {
        m_now += time_step;
        store_entries();
        deliver_hold();
        plan(m_state, m_now, unix_time_at(m_now));
        for (worker_order& order : std::exchange(m_state.m_orders, {})) {
            if (order.m_kind == worker_order::kind::stop && order.m_address == m_address) {
                m_stops.push_back(m_now);
            }
            if (order.m_kind == worker_order::kind::start) {
                m_run = {order.m_task, order.m_run};
            }
            const order_outcome outcome = m_calm ? order_outcome::accepted : draw_outcome();
            const bool no_answer = outcome == order_outcome::unknown;
            m_answers.push_back(
                {m_now + milliseconds(no_answer ? 800 : 5), std::move(order), outcome});
        }
        for (std::size_t i = 0; i < m_answers.size();) {
            if (m_answers[i].m_at > m_now) {
                ++i;
                continue;
            }
            const answer due = m_answers[i];
            m_answers.erase(m_answers.begin() + static_cast<std::ptrdiff_t>(i));
            apply_order_answer(m_state, due.m_order, due.m_outcome, m_now, unix_time_at(m_now));
        }
        send_hold();
    }

    /// The worker starts again under its id; its listing names the new incarnation at once.
    void restart_worker(const std::string& address)
    {
        m_address = address;
        m_clock_zero = m_now;
        m_listing.m_address = address;
        m_listing.m_incarnation_start_ms += 1 + (m_now - time_point(seconds(1000))).count() / 1000;
        update_worker(m_state, m_listing, m_now);
    }

    order_outcome draw_outcome()
    {
        static constexpr order_outcome outcomes[] = {
            order_outcome::accepted, order_outcome::unknown, order_outcome::unknown,
            order_outcome::not_sent, order_outcome::refused_busy};
        return outcomes[pick(0, 4)];
    }

    void send_hold()
    {
        if (m_hold || m_now < m_next_hold) {
            return;
        }
        const std::optional<hold_request> request =
            next_hold_request(m_state, m_listing.m_id, m_now);
        if (!request) {
            return;
        }
        const worker_record& worker = *m_state.m_workers.at(m_listing.m_id);
        const bool waits = worker.m_answered && request->m_deadline_ms;
        const milliseconds wait = !waits                  ? milliseconds(0)
                                  : worker.m_runs.empty() ? wait_idle
                                                          : wait_with_runs;
        const order_outcome outcome = m_calm           ? order_outcome::accepted
                                      : pick(0, 9) < 5 ? order_outcome::unknown
                                                       : order_outcome::accepted;
        m_hold =
            hold{m_now,
                 m_now + wait + (outcome == order_outcome::unknown ? milliseconds(600) : time_step),
                 request->m_address == m_address ? outcome : order_outcome::unknown};
    }

    void deliver_hold()
    {
        if (!m_hold || m_hold->m_ends_at > m_now) {
            return;
        }
        const hold ended = *m_hold;
        m_hold.reset();
        if (ended.m_outcome != order_outcome::accepted) {
            apply_hold_failure(m_state, m_listing.m_id, ended.m_outcome, m_now);
            m_next_hold = m_now + milliseconds(200);
            return;
        }
        worker_report report;
        report.m_clock_ms =
            std::chrono::duration_cast<milliseconds>(m_now - m_clock_zero).count() + 1000;
        report.m_incarnation_start_ms = m_listing.m_incarnation_start_ms;
        if (m_run) {
            report.m_running.push_back({m_run->first, m_run->second, "", 100, 0});
        }
        if (m_calm && m_first_calm_report == time_point{}) {
            m_first_calm_report = m_now;
        }
        apply_report(m_state, m_listing.m_id, report, ended.m_sent, m_now, unix_time_at(m_now));
        m_next_hold = m_now + time_step;
    }

    struct answer {
        time_point m_at;
        worker_order m_order;
        order_outcome m_outcome;
    };

    struct hold {
        time_point m_sent;
        time_point m_ends_at;
        order_outcome m_outcome;
    };

    const submission_id m_id{"0123456789abcdef"};
    std::mt19937_64 m_random;
    time_point m_now{seconds(1000)};
    shard m_state;
    worker_listing m_listing;
    std::string m_address = "10.0.0.1:80"; ///< Where the worker answers.
    time_point m_clock_zero{seconds(900)};
    std::optional<std::pair<task_name, run_number>> m_run; ///< As the worker lists it.
    bool m_calm = true;                                    ///< All orders and holds are answered.
    std::vector<answer> m_answers;
    std::optional<hold> m_hold;
    time_point m_next_hold{};
    time_point m_first_calm_report{};
    std::vector<time_point> m_stops; ///< When stop orders were sent to the worker.
};

/// Lets a calm time pass, and checks that stop orders begin soon and go on.
void check_stops(lasting_run& lasting)
{
    lasting.m_calm = true;
    lasting.m_first_calm_report = {};
    lasting.m_stops.clear();
    const time_point begin = lasting.m_now;
    lasting.step_for(milliseconds(12000));
    REQUIRE(lasting.m_first_calm_report != time_point{});
    REQUIRE_FALSE(lasting.m_stops.empty());
    CHECK(to_milliseconds(lasting.m_stops.front() - begin) <=
          static_cast<double>(max_first_stop.count()));
    lasting.m_stops.push_back(lasting.m_now);
    duration longest{};
    for (std::size_t i = 1; i < lasting.m_stops.size(); ++i) {
        longest = std::max(longest, lasting.m_stops[i] - lasting.m_stops[i - 1]);
    }
    CHECK(to_milliseconds(longest) <= static_cast<double>(max_stop_gap.count()));
}

/// Lets the work end and the worker start again at another address, while a hold is on its way to
/// the former one, where another worker refuses it.
void move_while_held(lasting_run& lasting)
{
    lasting.m_run.reset();
    lasting.cancel_submission();
    lasting.step_for(milliseconds(3000));
    lasting.m_calm = false;
    lasting.m_hold = lasting_run::hold{lasting.m_now, lasting.m_now + milliseconds(100),
                                       order_outcome::other_incarnation};
    lasting.restart_worker("10.0.0.2:80");
    lasting.step_for(milliseconds(100));
}

} // namespace

// Guards against cancelled work that runs on: no further stop order for a run that its worker
// lists, after a stop was answered.
TEST_CASE("a stop is repeated while the worker lists the run", "[cancelled_work]")
{
    lasting_run lasting(1);
    REQUIRE(lasting.m_run);
    lasting.cancel_submission();
    check_stops(lasting);
}

// Guards against the same after calls to the worker failed, it restarted under its id, its lease
// ended, or it was missing from the list for a while.
TEST_CASE("stops go on once a worker answers again", "[cancelled_work]")
{
    const std::uint64_t seed = GENERATE(range(1, 121));
    CAPTURE(seed);
    lasting_run lasting(seed);
    REQUIRE(lasting.m_run);
    const bool cancel_first = lasting.pick(0, 1) == 0;
    if (cancel_first) {
        lasting.cancel_submission();
    }
    lasting.m_calm = false;
    bool listed = true;
    const int turns = lasting.pick(1, 12);
    for (int i = 0; i < turns; ++i) {
        switch (lasting.pick(0, 6)) {
        case 0:
            lasting.restart_worker("10.0.0.1:80");
            listed = true;
            break;
        case 1:
            lasting.restart_worker("10.0.0." + std::to_string(i + 2) + ":80");
            listed = true;
            break;
        case 2:
            unlist_worker(lasting.m_state, lasting.m_listing.m_id, lasting.m_now);
            listed = false;
            break;
        case 3:
            lasting.m_state.m_may_hold = !lasting.m_state.m_may_hold;
            break;
        default:
            break;
        }
        lasting.step_for(milliseconds(lasting.pick(50, 2500)));
    }
    lasting.m_state.m_may_hold = true;
    if (!listed) {
        update_worker(lasting.m_state, lasting.m_listing, lasting.m_now);
    }
    if (!cancel_first) {
        lasting.cancel_submission();
    }
    check_stops(lasting);
}

// Guards against cancelled work that runs on: a run is listed again after its stop was answered,
// with its number or another, in the same incarnation of its worker or the next one.
TEST_CASE("stops begin anew for a run that is listed again after its stop", "[cancelled_work]")
{
    const bool restarts = GENERATE(false, true);
    const int later_run = GENERATE(0, 1);
    CAPTURE(restarts, later_run);
    lasting_run lasting(1);
    REQUIRE(lasting.m_run);
    const std::pair<task_name, run_number> run = *lasting.m_run;
    lasting.cancel_submission();
    lasting.step_for(milliseconds(500));
    REQUIRE_FALSE(lasting.m_stops.empty());
    lasting.m_run.reset();
    lasting.step_for(milliseconds(2000));
    REQUIRE(lasting.m_state.m_workers.at(lasting.m_listing.m_id)->m_runs.empty());
    if (restarts) {
        lasting.restart_worker("10.0.0.1:80");
    }
    lasting.m_run = {run.first, run_number(run.second.get() + later_run)};
    check_stops(lasting);
}

// Guards against the same when the owner that executed the cancellation could not reach the worker
// and the next one can.
TEST_CASE("the next owner stops the runs of cancelled submissions", "[cancelled_work]")
{
    const bool released = GENERATE(false, true);
    CAPTURE(released);
    virtual_pool pool(2, worker_size, 62);
    pool.run_for(milliseconds(200));
    submission work = make_submission({1}, small_task, milliseconds(1000));
    work.m_steps[0].m_long_running = true;
    pool.submit("a", work);
    pool.run_for(milliseconds(500));
    const auto cut =
        std::find_if(pool.m_workers.begin(), pool.m_workers.end(),
                     [](const virtual_worker& worker) { return !worker.m_runs.empty(); });
    REQUIRE(cut != pool.m_workers.end());
    cut->m_partitioned_owners = {0, 1};
    pool.cancel("a");
    pool.run_for(milliseconds(300));
    if (released) {
        pool.release();
    }
    pool.current_owner().m_alive = false;
    pool.change_owner();
    pool.run_for(milliseconds(1000));
    REQUIRE_FALSE(cut->m_runs.empty());
    cut->m_partitioned_owners.clear();
    pool.run_for(milliseconds(500));
    CHECK(cut->m_runs.empty());
    CHECK(pool.violations().empty());
}

// Guards against stops that are late and work that is started a second time: after the end of a
// lease, the first report of the worker showed that its run goes on, and the next plan gave the run
// up again.
TEST_CASE("a run that a worker lists after its lease seemed to end is kept", "[cancelled_work]")
{
    lasting_run lasting(1);
    REQUIRE(lasting.m_run);
    worker_record& worker = *lasting.m_state.m_workers.at(lasting.m_listing.m_id);
    lasting.m_calm = false;
    while (!worker.m_lease_ended) {
        lasting.m_hold.reset();
        apply_hold_failure(lasting.m_state, lasting.m_listing.m_id, order_outcome::unknown,
                           lasting.m_now);
        lasting.step();
    }
    lasting.m_calm = true;
    lasting.m_hold.reset();
    lasting.m_next_hold = {};
    lasting.m_first_calm_report = {};
    while (lasting.m_first_calm_report == time_point{}) {
        lasting.step();
    }
    // The step has planned after the report.
    CHECK_FALSE(worker.m_lease_ended);
    const submission_record& record = *lasting.m_state.m_submissions.at(lasting.m_id);
    CHECK(view_task(record.m_occurrences.at(0).m_steps[0], 0).m_phase == task_phase::placed);
}

// Guards against a worker that gets no starts: a call to its former address was refused by the
// worker that is there now, and the worker that the list names elsewhere counted as unlisted.
TEST_CASE("a refusal at a worker's former address does not unlist it", "[cancelled_work]")
{
    lasting_run lasting(1);
    move_while_held(lasting);
    lasting.m_calm = true;
    lasting.step_for(milliseconds(4000));
    const worker_record& worker = *lasting.m_state.m_workers.at(lasting.m_listing.m_id);
    CHECK(worker.m_answered);
    CHECK(worker.m_listed);
}

// Guards against a worker that no owner reads any more: the same, and the worker was cut off for a
// while afterwards, so that its record was removed though the list names it.
TEST_CASE("a listed worker is read again after a refusal at its former address", "[cancelled_work]")
{
    lasting_run lasting(1);
    move_while_held(lasting);
    for (int i = 0; i < 500; ++i) {
        lasting.m_hold.reset();
        apply_hold_failure(lasting.m_state, lasting.m_listing.m_id, order_outcome::unknown,
                           lasting.m_now);
        remove_departed_workers(lasting.m_state, lasting.m_now);
        lasting.step();
    }
    lasting.m_calm = true;
    lasting.step_for(milliseconds(1000));
    const bool is_read =
        next_hold_request(lasting.m_state, lasting.m_listing.m_id, lasting.m_now).has_value();
    CHECK(is_read);
}

// Guards against duplicate runs: a new owner knew a worker by the address in the log, and the
// refusal of the worker that is there now counted as the end of all its runs.
TEST_CASE("a refusal at a logged address does not end the wait for a former owner's worker",
          "[cancelled_work]")
{
    shard state;
    const time_point now(seconds(1000));
    const worker_id id("w");
    state.m_service = service_id("s");
    state.m_token = fencing_token(5);
    replay_entry(state, log_worker_used{id, "10.0.0.1:80"}, now, unix_time_at(now));
    replay_entry(state, log_ownership_taken{4}, now, unix_time_at(now));
    finish_replay(state, now, unix_time_at(now));
    REQUIRE(state.m_awaited_workers.contains(id));
    // The worker has started again at another address, where the former owner gave it work.
    apply_hold_failure(state, id, order_outcome::other_incarnation, now + milliseconds(20));
    CHECK(state.m_awaited_workers.contains(id));
}

// Guards against two owners that hold one worker and depose each other by their fencing tokens: the
// worker started again under its id in another service's pool.
TEST_CASE("a worker that serves another service is let go", "[cancelled_work]")
{
    lasting_run lasting(1);
    lasting.m_run.reset();
    lasting.cancel_submission();
    lasting.step_for(milliseconds(3000));
    lasting.m_listing.m_service = service_id("t");
    lasting.restart_worker("10.0.0.1:80");
    for (int i = 0; i < 1500; ++i) {
        lasting.step();
        remove_departed_workers(lasting.m_state, lasting.m_now);
    }
    const bool is_read =
        next_hold_request(lasting.m_state, lasting.m_listing.m_id, lasting.m_now).has_value();
    CHECK_FALSE(is_read);
}

// Guards against cancelled work that runs: a cancellation of an unknown submission left nothing
// behind, and a copy of the request that was held up on its way was accepted as new.
TEST_CASE("no task starts of a submission whose cancellation came first", "[cancelled_work]")
{
    virtual_pool pool(2, worker_size, 61);
    pool.run_for(milliseconds(200));
    pool.cancel("a");
    pool.run_for(milliseconds(100));
    pool.submit("a", make_submission({1}, small_task, milliseconds(1500)));
    pool.run_for(milliseconds(500));
    CHECK(pool.m_starts["a.0.0.0"] == 0);
}

} // namespace guavabay
