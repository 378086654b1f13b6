#include <catch2/catch.hpp>

#include "schedule/locality.h"
#include "support/virtual_pool.h"

namespace guavabay {

namespace {

constexpr resources worker_size{16000, 32768, 0};
constexpr resources whole_worker{14000, 1000, 0}; ///< One of these fits on a worker.
constexpr resources small_task{2000, 1000, 0};

/// Two racks of two workers each, r0 and r1, where a remote run takes twice as long.
struct two_racks : virtual_pool {
    explicit two_racks(std::uint64_t seed) : virtual_pool(4, worker_size, seed)
    {
        for (std::size_t i = 0; i < m_workers.size(); ++i) {
            m_workers[i].m_listing.m_rack = rack_id(i < 2 ? "r0" : "r1");
        }
        set_remote_factor(2);
        run_for(milliseconds(200));
    }

    /// Submits a submission of one step whose tasks have their data in r1.
    void submit_near(const std::string& id, std::uint32_t tasks, resources each,
                     milliseconds estimate)
    {
        submission what = make_submission({tasks}, each, estimate);
        what.m_steps[0].m_data_rack = "r1";
        REQUIRE(submit(id, what).m_answer == admission::accepted);
    }

    /// Fills both workers of r1 for a time and waits until these runs have started.
    void fill_r1(milliseconds time, const std::string& id = "base")
    {
        submit_near(id, 2, whole_worker, time);
        run_for(milliseconds(100));
        REQUIRE(m_workers[2].m_runs.size() == 1);
        REQUIRE(m_workers[3].m_runs.size() == 1);
    }

    /// The number of tasks of a submission that run in a rack now.
    [[nodiscard]] int running(const std::string& id, const std::string& rack) const
    {
        int count = 0;
        for (const virtual_worker& worker : m_workers) {
            for (const auto& [key, run] : worker.m_runs) {
                count += key.first.m_submission.str() == id && worker.m_listing.m_rack.str() == rack
                             ? 1
                             : 0;
            }
        }
        return count;
    }

    /// The largest number of tasks of a submission that ran in a rack at one moment.
    int most_running(const std::string& id, const std::string& rack, milliseconds length)
    {
        int most = 0;
        for (milliseconds past{0}; past < length; past += milliseconds(10)) {
            run_for(milliseconds(10));
            most = std::max(most, running(id, rack));
        }
        return most;
    }
};

/// The lines of the current owner's log that contain a text.
std::size_t count_lines(virtual_pool& pool, const std::string& text)
{
    const std::vector<std::string>& lines = pool.current_owner().m_shard.m_log_lines;
    return static_cast<std::size_t>(
        std::count_if(lines.begin(), lines.end(), [&](const std::string& line) {
            return line.find(text) != std::string::npos;
        }));
}

/// A question of a task of one second that would take two elsewhere, with much slack.
place_question usual_question()
{
    place_question question;
    question.m_time_here = milliseconds(1000);
    question.m_time_elsewhere = milliseconds(2000);
    question.m_room_in = milliseconds(400);
    question.m_slack = seconds(60);
    question.m_hard_slack = seconds(180);
    return question;
}

/// A worker without free cores whose runs of 2 cores each end after the given times.
worker_outlook busy_worker(const std::vector<milliseconds>& ends)
{
    worker_outlook worker;
    worker.m_free = {0, 1000, 0};
    for (const milliseconds end : ends) {
        worker.m_releases.push_back({end, {2000, 0, 0}});
    }
    return worker;
}

} // namespace

// Guards against decisions that ignore when room is expected, how urgent the work is, or how long
// it has waited.
TEST_CASE("a wait for a place is decided by time, slack and price", "[locality]")
{
    place_question question = usual_question();

    SECTION("a wait pays")
    {
        const place_decision decision = decide_place(question);
        CHECK(decision.m_action == place_action::wait);
        CHECK(decision.m_wait == milliseconds(1000));
    }
    SECTION("room now")
    {
        question.m_room_in = duration(0);
        CHECK(decide_place(question).m_action == place_action::start_here);
    }
    SECTION("a wait does not pay")
    {
        question.m_room_in = milliseconds(1100);
        CHECK(decide_place(question).m_action == place_action::second_best);
    }
    SECTION("the place never has room")
    {
        question.m_room_in = std::nullopt;
        CHECK(decide_place(question).m_reason == place_reason::no_room);
    }
    SECTION("the price of the core that is kept idle shortens the wait")
    {
        question.m_idle_price = 2;
        CHECK(decide_place(question).m_action == place_action::second_best);
    }
    SECTION("a run elsewhere takes capacity from others")
    {
        question.m_room_in = milliseconds(1100);
        question.m_work_price = 1;
        CHECK(decide_place(question).m_action == place_action::wait);
    }
    SECTION("it has waited as long as the run elsewhere would take longer")
    {
        question.m_waited = milliseconds(1000);
        CHECK(decide_place(question).m_reason == place_reason::waited_enough);
    }
    SECTION("the slack ends the wait")
    {
        question.m_slack = milliseconds(1250);
        CHECK(decide_place(question).m_wait == milliseconds(250));
    }
    SECTION("a run elsewhere is on time only now")
    {
        question.m_time_elsewhere = milliseconds(1300);
        question.m_slack = milliseconds(350);
        CHECK(decide_place(question).m_reason == place_reason::urgent);
    }
    SECTION("only a run at the place is on time")
    {
        question.m_room_in = milliseconds(600);
        question.m_slack = milliseconds(700);
        const place_decision decision = decide_place(question);
        CHECK(decision.m_action == place_action::wait);
        CHECK(decision.m_wait == milliseconds(700));
    }
    SECTION("late work is decided by its hard deadline")
    {
        question.m_slack = milliseconds(-100);
        question.m_hard_slack = milliseconds(1000);
        question.m_room_in = milliseconds(1100);
        question.m_work_price = 10;
        CHECK(decide_place(question).m_reason == place_reason::urgent);
    }
}

// Guards against forecasts that look at one worker or one run only.
TEST_CASE("the time until room at a place follows from the ends of runs", "[locality]")
{
    place_outlook place;
    place.m_workers = {busy_worker({milliseconds(100), milliseconds(300)}),
                       busy_worker({milliseconds(200), milliseconds(900)})};
    const resources one{2000, 100, 0};

    CHECK(time_until_room(place, one, 1, 0, {}) == milliseconds(100));
    CHECK(time_until_room(place, one, 3, 0, {}) == milliseconds(300));
    CHECK(time_until_room(place, one, 3, 1, {}) == std::nullopt);
    CHECK(time_until_room(place, one, 1, 0, {true, false}) == milliseconds(200));
    CHECK(time_until_room(place, {4000, 100, 0}, 1, 0, {}) == milliseconds(300));
    CHECK(time_until_room(place, {5000, 100, 0}, 1, 0, {}) == std::nullopt);

    // Tasks that rank higher take the room that comes first.
    for (int i = 0; i < 4; ++i) {
        REQUIRE(book(place, {one, milliseconds(1000)}, {}).has_value());
    }
    CHECK(time_until_room(place, one, 1, 0, {}) == milliseconds(1100));
}

// Guards against a run that takes seven times as long being expected to end at any moment.
TEST_CASE("a run that is late is expected to stay longer the later it is", "[locality]")
{
    overrun_history history;
    CHECK(expected_remaining(history, milliseconds(1000), milliseconds(400)) == milliseconds(600));
    CHECK(expected_remaining(history, milliseconds(1000), milliseconds(3000)) ==
          milliseconds(2000));
    for (int i = 0; i < 2000; ++i) {
        add_overrun(history, i % 33 == 0 ? 7 : 1);
    }
    CHECK(expected_remaining(history, milliseconds(1000), milliseconds(100)) < milliseconds(1300));
    CHECK(expected_remaining(history, milliseconds(1000), milliseconds(2000)) > milliseconds(1500));
}

// Guards against later steps that start away from their data although a worker there is about to
// have room: the wait was counted from the arrival of the submission.
TEST_CASE("a step after others waits for the rack of its data when that pays", "[locality]")
{
    two_racks pool(1);
    pool.fill_r1(milliseconds(1400));
    submission what = make_submission({1, 1}, whole_worker, milliseconds(800));
    what.m_steps[1].m_data_rack = "r1";
    REQUIRE(pool.submit("a", what).m_answer == admission::accepted);
    // The second step is ready after 0.9 s, and the rack has room after 1.4 s.
    pool.run_for(milliseconds(1050));
    CHECK(pool.running("a", "r0") == 0);
    pool.run_for(milliseconds(500));
    CHECK(pool.running("a", "r1") == 1);
    pool.run_for(milliseconds(700));
    CHECK(pool.state("a") == submission_state::succeeded);
    CHECK(pool.violations().empty());
}

// Guards against a wait for room that is expected too late.
TEST_CASE("a task whose wait does not pay starts elsewhere at once", "[locality]")
{
    two_racks pool(2);
    pool.fill_r1(milliseconds(3000));
    pool.submit_near("a", 1, whole_worker, milliseconds(800));
    CHECK(pool.most_running("a", "r0", milliseconds(150)) == 1);
    CHECK(pool.violations().empty());
}

// Guards against a wait without end at a place without workers, and one that never has room.
TEST_CASE("a task does not wait for a place that never has room", "[locality]")
{
    two_racks pool(3);
    SECTION("it has no worker that is large enough")
    {
        pool.m_workers[2].m_listing.m_capacity = small_task;
        pool.m_workers[3].m_listing.m_capacity = small_task;
        pool.run_for(milliseconds(200));
        pool.submit_near("a", 1, whole_worker, milliseconds(2000));
    }
    SECTION("its runs last")
    {
        submission lasting = make_submission({2}, whole_worker, milliseconds(500));
        lasting.m_steps[0].m_long_running = true;
        lasting.m_steps[0].m_data_rack = "r1";
        pool.submit("base", lasting);
        pool.run_for(milliseconds(600));
        pool.submit_near("a", 1, whole_worker, milliseconds(2000));
    }
    SECTION("no worker is in the rack")
    {
        submission what = make_submission({1}, whole_worker, milliseconds(2000));
        what.m_steps[0].m_data_rack = "r9";
        pool.submit("a", what);
    }
    CHECK(pool.most_running("a", "r0", milliseconds(150)) == 1);
    CHECK(pool.violations().empty());
}

// Guards against a wait for workers that take no starts any more.
TEST_CASE("a wait ends when its place drains", "[locality]")
{
    two_racks pool(4);
    pool.fill_r1(milliseconds(700));
    pool.submit_near("a", 1, whole_worker, milliseconds(1500));
    CHECK(pool.most_running("a", "r0", milliseconds(200)) == 0);
    for (const std::size_t worker : {2, 3}) {
        pool.m_workers[worker].m_listing.m_draining = true;
        pool.m_workers[worker].m_listing.m_remaining_ms = 10000;
    }
    CHECK(pool.most_running("a", "r0", milliseconds(150)) == 1);
    CHECK(pool.current_owner().m_shard.m_locality.m_counts.m_waits_unpaid == 1);
    CHECK(pool.violations().empty());
}

// Guards against a wait for workers that are gone but not yet known to be.
TEST_CASE("a wait ends when the workers of its place stop answering", "[locality]")
{
    two_racks pool(13);
    pool.fill_r1(milliseconds(900));
    pool.submit_near("a", 1, whole_worker, milliseconds(1500));
    CHECK(pool.most_running("a", "r0", milliseconds(200)) == 0);
    pool.crash_worker(2);
    pool.crash_worker(3);
    CHECK(pool.most_running("a", "r0", milliseconds(200)) == 1);
    CHECK(pool.violations().empty());
}

// Guards against all tasks waiting for a rack that has room for few of them: what ranks higher has
// to count.
TEST_CASE("of many tasks that want one rack only as many wait as gain from it", "[locality]")
{
    two_racks pool(5);
    pool.fill_r1(milliseconds(400));
    for (int i = 0; i < 4; ++i) {
        pool.submit_near("a" + std::to_string(i), 1, whole_worker, milliseconds(800));
    }
    pool.run_for(milliseconds(150));
    int elsewhere = 0;
    for (int i = 0; i < 4; ++i) {
        elsewhere += pool.running("a" + std::to_string(i), "r0");
    }
    CHECK(elsewhere == 2);
    pool.run_for(milliseconds(500));
    int near = 0;
    for (int i = 0; i < 4; ++i) {
        near += pool.running("a" + std::to_string(i), "r1");
    }
    CHECK(near == 2);
    CHECK(pool.violations().empty());
}

// Guards against the same among the tasks of one step: the first that waited held back the others.
TEST_CASE("the tasks of one step are decided one by one", "[locality]")
{
    two_racks pool(6);
    pool.fill_r1(milliseconds(400));
    pool.submit_near("a", 4, whole_worker, milliseconds(800));
    pool.run_for(milliseconds(150));
    CHECK(pool.running("a", "r0") == 2);
    pool.run_for(milliseconds(500));
    CHECK(pool.running("a", "r1") == 2);
    CHECK(pool.violations().empty());
}

// Guards against a wait that makes work late which would have been on time elsewhere.
TEST_CASE("urgent work does not wait", "[locality]")
{
    two_racks pool(7);
    pool.set_remote_factor(1.5);
    // The objective is 3.2 s after the arrival. A run elsewhere takes 3 s, one at the place 2 s,
    // but room comes after 1.25 s, which by cost alone would be worth a wait.
    pool.m_contract.m_target = milliseconds(0);
    set_queues(pool.current_owner().m_shard, {pool.m_contract});
    pool.fill_r1(milliseconds(1350));
    pool.submit_near("a", 1, whole_worker, milliseconds(2000));
    CHECK(pool.most_running("a", "r0", milliseconds(150)) == 1);
    pool.run_for(milliseconds(3050));
    CHECK(pool.state("a") == submission_state::succeeded);
    CHECK(pool.violations().empty());
}

// Guards against groups that wait for one rack without end, or never.
TEST_CASE("a group waits for one rack as long as that pays", "[locality]")
{
    two_racks pool(8);
    submission group = make_submission({2}, whole_worker, milliseconds(1000));
    group.m_steps[0].m_gang = true;
    group.m_steps[0].m_same_rack = true;
    // One worker of each rack is taken.
    const auto take = [&](milliseconds near, milliseconds far) {
        for (const auto& [rack, time] : {std::pair("r0", far), std::pair("r1", near)}) {
            submission what = make_submission({1}, whole_worker, time);
            what.m_steps[0].m_data_rack = rack;
            REQUIRE(pool.submit(std::string("base") + rack, what).m_answer == admission::accepted);
        }
        pool.run_for(milliseconds(100));
        REQUIRE(pool.running("baser0", "r0") == 1);
        REQUIRE(pool.running("baser1", "r1") == 1);
    };
    SECTION("it waits for the rack that has room first")
    {
        take(milliseconds(500), milliseconds(3000));
        pool.submit("g", group);
        pool.run_for(milliseconds(700));
        CHECK(pool.running("g", "r1") == 2);
    }
    SECTION("it starts across racks when no rack has room in time")
    {
        take(milliseconds(4000), milliseconds(4000));
        pool.submit("g", group);
        pool.run_for(milliseconds(150));
        CHECK(pool.running("g", "r0") == 1);
        CHECK(pool.running("g", "r1") == 1);
        pool.run_for(milliseconds(2200));
        CHECK(pool.state("g") == submission_state::succeeded);
    }
    CHECK(pool.violations().empty());
}

// Guards against a group that waits for ever because no rack is large enough for it.
TEST_CASE("a group that fits in no rack starts across racks", "[locality]")
{
    two_racks pool(9);
    submission group = make_submission({3}, whole_worker, milliseconds(1000));
    group.m_steps[0].m_gang = true;
    group.m_steps[0].m_same_rack = true;
    pool.submit("g", group);
    pool.run_for(milliseconds(2400));
    CHECK(pool.state("g") == submission_state::succeeded);
    CHECK(pool.violations().empty());
}

// Guards against runs away from their data that count as slow workers and slow tasks.
TEST_CASE("runs away from their data do not change the expected run time near it", "[locality]")
{
    two_racks pool(10);
    pool.set_remote_factor(3);
    submission what = make_submission({1}, small_task, milliseconds(200));
    what.m_steps[0].m_data_rack = "r9";
    for (int i = 0; i < 8; ++i) {
        pool.submit("a" + std::to_string(i), what);
        pool.run_for(milliseconds(800));
    }
    const shard& state = pool.current_owner().m_shard;
    REQUIRE(state.m_run_times.contains(pool.m_contract.m_queue));
    CHECK(estimate_factor(state.m_run_times.at(pool.m_contract.m_queue).m_all, {}) < 1.5);
    for (const auto& [id, worker] : state.m_workers) {
        CHECK(worker->m_slowness < 1.5);
    }
}

// Guards against a log that does not say why a task waits, or says it in each pass.
TEST_CASE("a waiting submission is logged once, and so is the start from priors", "[locality]")
{
    two_racks pool(11);
    pool.fill_r1(milliseconds(600));
    pool.submit_near("a", 2, whole_worker, milliseconds(1000));
    pool.run_for(milliseconds(300));
    CHECK(count_lines(pool, "task waits for its place: task=a.0.0.0 place=r1") == 1);
    CHECK(count_lines(pool, "waits for places are decided from priors") == 1);
    const locality_state& known = pool.current_owner().m_shard.m_locality;
    CHECK(known.m_waits.size() == 2);
    pool.run_for(milliseconds(500));
    CHECK(known.m_counts.m_waits_paid == 2);
    CHECK(known.m_waits.empty());

    pool.current_owner().m_alive = false;
    pool.change_owner();
    pool.run_for(milliseconds(4000));
    pool.fill_r1(milliseconds(600), "later");
    CHECK(count_lines(pool, "waits for places are decided from priors") == 1);
}

// Guards against costs for work that names no place.
TEST_CASE("work that names no place leaves no trace in decisions about places", "[locality]")
{
    two_racks pool(12);
    for (int i = 0; i < 20; ++i) {
        pool.submit("a" + std::to_string(i), make_submission({4}, small_task, milliseconds(300)));
    }
    pool.run_for(milliseconds(2000));
    const locality_state& known = pool.current_owner().m_shard.m_locality;
    CHECK_FALSE(known.m_is_active);
    CHECK(known.m_overruns.m_samples == 0);
    CHECK(known.m_waits.empty());
    CHECK(count_lines(pool, "waits for places") == 0);
}

} // namespace guavabay
