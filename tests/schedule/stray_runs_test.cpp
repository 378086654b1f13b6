#include <algorithm>
#include <catch2/catch.hpp>

#include "schedule/stray_runs.h"
#include "support/virtual_pool.h"

namespace guavabay {

namespace {

constexpr resources worker_size{16000, 32768, 0};
constexpr resources small_task{2000, 1000, 0};

const std::string stray_line = "run of a submission that is over or unknown reported: ";
const std::string overdue_line = "run still there after its stop: ";
const std::string unlisted_line = "worker that is not listed reports runs: ";
const std::string other_incarnation_line = "another incarnation answers in a worker's place: ";

/// The log lines of the current owner that begin with a text.
std::vector<std::string> lines_of(virtual_pool& pool, const std::string& text)
{
    std::vector<std::string> found;
    const std::vector<std::string>& all = pool.current_owner().m_shard.m_log_lines;
    std::copy_if(all.begin(), all.end(), std::back_inserter(found),
                 [&](const std::string& line) { return line.starts_with(text); });
    return found;
}

bool contains(const std::string& line, const std::string& text)
{
    return line.find(text) != std::string::npos;
}

/// Value of a metric of the current owner, given its name and further labels.
double metric(virtual_pool& pool, const std::string& name, const std::string& labels = "")
{
    const std::string text = format_cancellation_metrics(pool.current_owner().m_shard, pool.now());
    const std::string start = "guavabay_" + name + "{service=\"s\"" + labels + "} ";
    const std::size_t at = text.find(start);
    REQUIRE(at != std::string::npos);
    return std::stod(text.substr(at + start.size()));
}

double cancellations(virtual_pool& pool, const std::string& outcome)
{
    return metric(pool, "cancellations_total", ",outcome=\"" + outcome + "\"");
}

/// Number of runs of decided submissions on workers whose leases last.
double decided_runs(virtual_pool& pool)
{
    return metric(pool, "decided_runs", ",lease=\"lasts\"");
}

submission long_running_work()
{
    submission work = make_submission({1}, small_task, milliseconds(300));
    work.m_steps[0].m_long_running = true;
    return work;
}

} // namespace

TEST_CASE("a cancellation is logged when it arrives and when it is stored", "[stray_runs]")
{
    virtual_pool pool(2, worker_size, 71);
    pool.submit("a", long_running_work());
    pool.run_for(milliseconds(500));
    REQUIRE(pool.cancel("a"));
    REQUIRE(pool.cancel("a"));
    const auto received = lines_of(pool, "cancellation received: ");
    REQUIRE(received.size() == 1);
    CHECK(received[0] == "cancellation received: id=a accept_stored=yes runs=1");
    CHECK(lines_of(pool, "cancellation stored: ").empty());
    pool.run_for(milliseconds(100));
    const auto stored = lines_of(pool, "cancellation stored: ");
    REQUIRE(stored.size() == 1);
    CHECK(stored[0].starts_with("cancellation stored: id=a after_ms="));
    CHECK(contains(stored[0], " state=canceled runs_to_stop=1"));
    REQUIRE(pool.cancel("a"));
    CHECK(cancellations(pool, "received") == 1);
    CHECK(cancellations(pool, "repeated") == 1);
    CHECK(cancellations(pool, "stored") == 1);
    CHECK(cancellations(pool, "ended") == 1);
    CHECK(cancellations(pool, "unknown") == 0);
}

TEST_CASE("a cancellation that is not stored in time is logged", "[stray_runs]")
{
    virtual_pool pool(1, worker_size, 72);
    pool.submit("a", long_running_work());
    pool.run_for(milliseconds(500));
    pool.current_owner().m_has_store = false;
    REQUIRE(pool.cancel("a"));
    pool.run_for(milliseconds(250));
    note_cancellation_open(pool.current_owner().m_shard, submission_id("a"), pool.now());
    CHECK(
        lines_of(pool, "cancellation not stored in the caller's time: id=a after_ms=250").size() ==
        1);
    CHECK(cancellations(pool, "timed_out") == 1);
    CHECK(cancellations(pool, "stored") == 0);
}

TEST_CASE("a submission that is accepted after its cancellation is logged", "[stray_runs]")
{
    virtual_pool pool(1, worker_size, 73);
    pool.run_for(milliseconds(100));
    CHECK_FALSE(pool.cancel("a"));
    CHECK_FALSE(pool.cancel("a"));
    CHECK(lines_of(pool, "cancellation of an unknown submission: id=a").size() == 1);
    pool.run_for(milliseconds(300));
    pool.submit("a", long_running_work());
    pool.submit("b", long_running_work());
    const auto lines = lines_of(pool, "submission accepted after its cancellation");
    REQUIRE(lines.size() == 1);
    CHECK(contains(lines[0], " id=a cancelled_ms_ago=300"));
    CHECK(cancellations(pool, "unknown") == 2);
    CHECK(metric(pool, "accepted_after_cancellation_total") == 1);
}

TEST_CASE("the ids of unknown cancellations take bounded memory", "[stray_runs]")
{
    remembered_keys keys;
    keys.m_limit = 3;
    const time_point now(seconds(5));
    for (const char* key : {"a", "b", "c", "d"}) {
        CHECK(remember(keys, key, now));
    }
    CHECK_FALSE(remember(keys, "d", now + seconds(1)));
    CHECK(keys.m_at.size() == 3);
    CHECK(keys.m_order.size() == 3);
    CHECK_FALSE(find_remembered(keys, "a"));
    CHECK(find_remembered(keys, "d") == now);
}

TEST_CASE("a run of a cancelled submission is logged once while it is being stopped",
          "[stray_runs]")
{
    virtual_pool pool(1, worker_size, 74);
    pool.submit("a", long_running_work());
    pool.run_for(milliseconds(500));
    CHECK(decided_runs(pool) == 0);
    REQUIRE(pool.cancel("a"));
    pool.run_for(milliseconds(120));
    CHECK(decided_runs(pool) == 1);
    CHECK(metric(pool, "decided_run_oldest_seconds") > 0);
    CHECK(metric(pool, "stops_sent_total") == 1);
    pool.run_for(milliseconds(3000));
    const auto lines = lines_of(pool, stray_line);
    REQUIRE(lines.size() == 1);
    CHECK(contains(lines[0], "task=a.0.0.0 "));
    CHECK(contains(lines[0], " worker=w0 submission=canceled age_ms="));
    // The report arrives before the planning round that sends the stop.
    CHECK(contains(lines[0], " known=yes stopping=yes stops_sent=0 listed=yes"));
    CHECK_FALSE(contains(lines[0], "age_ms=unknown"));
    CHECK(lines_of(pool, overdue_line).empty());
    CHECK(decided_runs(pool) == 0);
    CHECK(metric(pool, "decided_run_oldest_seconds") == 0);
    CHECK(metric(pool, "stops_unanswered_total") == 0);
    CHECK(pool.violations().empty());
}

TEST_CASE("a run that ends with its submission is not logged", "[stray_runs]")
{
    virtual_pool pool(3, worker_size, 75);
    submission work = make_submission({3}, small_task, milliseconds(300));
    work.m_steps[0].m_gang = true;
    pool.submit("a", work);
    pool.submit("b", make_submission({4, 2}, small_task, milliseconds(200)));
    pool.run_for(milliseconds(3000));
    REQUIRE(pool.state("a") == submission_state::succeeded);
    REQUIRE(pool.state("b") == submission_state::succeeded);
    CHECK(lines_of(pool, stray_line).empty());
    CHECK(lines_of(pool, overdue_line).empty());
}

TEST_CASE("a run of a cancelled submission that a new owner finds is logged", "[stray_runs]")
{
    virtual_pool pool(1, worker_size, 76);
    pool.submit("a", long_running_work());
    pool.run_for(milliseconds(500));
    REQUIRE(pool.m_workers[0].m_runs.size() == 1);
    // The new owner decides the cancellation before it reaches the worker.
    pool.m_workers[0].m_partitioned_owners.insert(1);
    pool.change_owner();
    REQUIRE(pool.cancel("a"));
    pool.run_for(milliseconds(600));
    REQUIRE(pool.state("a") == submission_state::canceled);
    REQUIRE(pool.m_workers[0].m_runs.size() == 1);
    pool.m_workers[0].m_partitioned_owners.clear();
    pool.run_for(milliseconds(1000));
    const auto lines = lines_of(pool, stray_line);
    REQUIRE(lines.size() == 1);
    CHECK(contains(lines[0], "task=a.0.0.0 "));
    CHECK(contains(lines[0], " submission=canceled age_ms=unknown known=no stopping=no"));
    CHECK(pool.m_workers[0].m_runs.empty());
}

TEST_CASE("a run of an unknown submission is logged", "[stray_runs]")
{
    virtual_pool pool(1, worker_size, 77);
    pool.run_for(milliseconds(200));
    shard& state = pool.current_owner().m_shard;
    worker_report report;
    report.m_incarnation_start_ms = pool.m_workers[0].m_incarnation_start_ms;
    report.m_running.push_back({{submission_id("z"), 0, 0, 0}, run_number(7), "", 10, 0});
    apply_report(state, worker_id("w0"), report, pool.now(), pool.now(), pool.wall());
    const auto lines = lines_of(pool, stray_line);
    REQUIRE(lines.size() == 1);
    CHECK(contains(lines[0], "task=z.0.0.0 run=7 worker=w0 submission=unknown age_ms=unknown"));
    CHECK(decided_runs(pool) == 1);
}

TEST_CASE("a run that is still there long after its stop is logged once", "[stray_runs]")
{
    virtual_pool pool(2, worker_size, 78);
    pool.submit("a", long_running_work());
    pool.run_for(milliseconds(500));
    const std::size_t used = pool.m_workers[0].m_runs.empty() ? 1 : 0;
    pool.m_workers[used].m_partitioned_owners.insert(0);
    REQUIRE(pool.cancel("a"));
    pool.run_for(milliseconds(1500));
    CHECK(lines_of(pool, overdue_line).empty());
    pool.run_for(milliseconds(1000));
    CHECK(metric(pool, "decided_run_oldest_seconds") > 2);
    CHECK(metric(pool, "stops_sent_total") >= 2);
    CHECK(metric(pool, "stops_unanswered_total") == metric(pool, "stops_sent_total"));
    CHECK(metric(pool, "worker_unheard_longest_seconds") > 2);
    CHECK(metric(pool, "workers_never_heard") == 0);
    CHECK(decided_runs(pool) == 1);
    pool.run_for(milliseconds(3000));
    CHECK(decided_runs(pool) == 0);
    const auto lines = lines_of(pool, overdue_line);
    REQUIRE(lines.size() == 1);
    CHECK(contains(lines[0], "task=a.0.0.0 "));
    CHECK(contains(lines[0], " submission=canceled for_ms="));
    CHECK(contains(lines[0], " stops_answered=0 order_pending=no reported=yes worker_answered=yes "
                             "lease_ended=no listed=yes heard_ms_ago="));
    CHECK_FALSE(contains(lines[0], " stops_sent=0 "));
}

TEST_CASE("a worker that is not listed and has runs is logged once in each such period",
          "[stray_runs]")
{
    virtual_pool pool(1, worker_size, 79);
    pool.submit("a", long_running_work());
    pool.run_for(milliseconds(500));
    pool.m_workers[0].m_listed = false;
    pool.run_for(milliseconds(900));
    CHECK(lines_of(pool, unlisted_line).empty());
    pool.run_for(milliseconds(1500));
    const auto lines = lines_of(pool, unlisted_line);
    REQUIRE(lines.size() == 1);
    CHECK(contains(lines[0], "worker=w0 address=10.0.0.1:80 runs=1 unlisted_ms=10"));
    CHECK(contains(lines[0], " after_other_incarnation=no"));
    pool.m_workers[0].m_listed = true;
    pool.run_for(milliseconds(100));
    pool.m_workers[0].m_listed = false;
    pool.run_for(milliseconds(1500));
    CHECK(lines_of(pool, unlisted_line).size() == 2);
}

TEST_CASE(
    "another incarnation in a worker's place is logged once, and runs that the worker reports "
    "later",
    "[stray_runs]")
{
    virtual_pool pool(1, worker_size, 80);
    pool.submit("a", long_running_work());
    pool.run_for(milliseconds(500));
    shard& state = pool.current_owner().m_shard;
    pool.m_workers[0].m_listed = false;
    for (int i = 0; i < 3; ++i) {
        apply_hold_failure(state, worker_id("w0"), order_outcome::other_incarnation, pool.now());
    }
    const auto lines = lines_of(pool, other_incarnation_line);
    REQUIRE(lines.size() == 1);
    CHECK(contains(lines[0], "worker=w0 address=10.0.0.1:80 forgotten_runs=1 listed=yes"));
    pool.run_for(milliseconds(1500));
    const auto reports = lines_of(pool, unlisted_line);
    REQUIRE(reports.size() == 1);
    CHECK(contains(reports[0], " after_other_incarnation=yes"));
}

} // namespace guavabay
