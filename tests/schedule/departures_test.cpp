#include <catch2/catch.hpp>

#include "schedule/departures.h"

namespace guavabay {

namespace {

const organisation_id gone("gone");
const organisation_id stays("stays");
constexpr time_point start{seconds(100)};

organisation_directory make_directory(const std::vector<organisation_id>& ids)
{
    organisation_directory directory;
    for (const organisation_id& id : ids) {
        directory.add({id, {}, {}});
    }
    return directory;
}

/// A shard with submissions and runs of two organisations.
struct departing_work {
    departing_work()
    {
        m_state.m_loaded = true;
        set_configured(m_departures, make_directory({gone, stays}), start);
    }

    submission_record& add_submission(const std::string& id, const organisation_id& organisation)
    {
        auto record = std::make_unique<submission_record>();
        record->m_id = submission_id(id);
        record->m_organisation = organisation;
        submission_record& added = *record;
        m_state.m_open_submissions.insert(&added);
        m_state.m_submissions[added.m_id] = std::move(record);
        return added;
    }

    void add_run(const std::string& worker, const std::string& submission, run_phase phase)
    {
        std::unique_ptr<worker_record>& record = m_state.m_workers[worker_id(worker)];
        if (record == nullptr) {
            record = std::make_unique<worker_record>();
        }
        run_slot run;
        run.m_task.m_submission = submission_id(submission);
        run.m_run = run_number(++m_next_run);
        run.m_phase = phase;
        record->m_runs[{run.m_task, run.m_run}] = run;
    }

    /// Removes the organisation from the configuration.
    void leave() { set_configured(m_departures, make_directory({stays}), m_now); }

    /// Lets the next count take place.
    std::vector<std::string> count()
    {
        m_now += seconds(1);
        return update_departures(m_departures, m_state, m_now);
    }

    [[nodiscard]] const departed_organisation& left() const { return m_departures.m_left.at(gone); }

    shard m_state;
    departures m_departures;
    time_point m_now = start;
    std::int64_t m_next_run = 0;
};

} // namespace

// Guards against a departure that nobody can prove: open work and runs have to be counted, also
// runs that are being stopped and starts without an answer.
TEST_CASE("the work of an organisation that left is counted", "[organisation]")
{
    departing_work work;
    work.add_submission("1", gone);
    work.add_submission("2", gone);
    work.add_submission("3", stays);
    work.add_run("w1", "1", run_phase::ordered);
    work.add_run("w1", "1", run_phase::stopping);
    work.add_run("w2", "2", run_phase::running);
    work.add_run("w3", "3", run_phase::running);
    CHECK(work.count().empty());
    CHECK(work.m_departures.m_left.empty());

    work.leave();
    const std::vector<std::string> lines = work.count();
    REQUIRE(lines.size() == 1);
    CHECK(lines.front().find("has work organisation=gone open=2 runs=3 workers=2") !=
          std::string::npos);
    CHECK(work.left().m_open_submissions == 2);
    CHECK(work.left().m_runs == 3);
    CHECK(work.left().m_workers == 2);
    CHECK_FALSE(work.left().m_idle_since.has_value());
    CHECK(work.m_departures.m_left.size() == 1);
    CHECK(work.count().empty());
}

// Guards against a proof that is given too early, or lost.
TEST_CASE("the log tells when nothing of an organisation that left runs any more", "[organisation]")
{
    departing_work work;
    submission_record& submission = work.add_submission("1", gone);
    work.add_run("w1", "1", run_phase::stopping);
    work.leave();
    work.count();
    work.m_state.m_open_submissions.erase(&submission);
    const std::vector<std::string> closed = work.count();
    REQUIRE(closed.size() == 1);
    CHECK(closed.front().find("may run something organisation=gone open=0 runs=1") !=
          std::string::npos);
    CHECK_FALSE(work.left().m_idle_since.has_value());

    work.m_state.m_workers.clear();
    const std::vector<std::string> lines = work.count();
    const time_point idle_since = work.m_now;
    REQUIRE(lines.size() == 1);
    CHECK(lines.front().find("runs nothing organisation=gone open=0 runs=0") != std::string::npos);
    work.count();
    CHECK(work.left().m_idle_since == idle_since);
    const std::string metrics =
        format_departure_metrics(work.m_departures, service_id("s"), work.m_now);
    CHECK(metrics.find("guavabay_departed_runs{service=\"s\",organisation=\"gone\"} 0\n") !=
          std::string::npos);
    CHECK(metrics.find("guavabay_departed_idle_ms{service=\"s\",organisation=\"gone\"} 1000\n") !=
          std::string::npos);
}

// Guards against a new owner that reports that nothing runs before all workers have told it.
TEST_CASE("nothing counts as idle while runs of a former owner may be unknown", "[organisation]")
{
    departing_work work;
    work.add_submission("1", gone);
    work.m_state.m_awaited_workers.insert(worker_id("w1"));
    work.leave();
    work.count();
    CHECK_FALSE(work.left().m_idle_since.has_value());
    work.m_state.m_awaited_workers.clear();
    work.add_run("w2", "not known", run_phase::running);
    work.count();
    CHECK_FALSE(work.left().m_idle_since.has_value());
    work.m_state.m_workers.clear();
    work.count();
    CHECK(work.left().m_idle_since == work.m_now);
}

// Guards against work that a host behind the others hands in after the organisation had left.
TEST_CASE("work that arrives shortly after the departure is found", "[organisation]")
{
    departing_work work;
    work.leave();
    CHECK(work.count().empty());
    CHECK(work.m_departures.m_left.empty());
    work.add_submission("1", gone);
    CHECK(work.count().size() == 1);
    CHECK(work.left().m_open_submissions == 1);
}

// Guards against a run that outlasts its cancelled submission and is not counted.
TEST_CASE("a run of a closed submission counts as work of an organisation that left",
          "[organisation]")
{
    departing_work work;
    submission_record& submission = work.add_submission("1", gone);
    work.m_state.m_open_submissions.erase(&submission);
    work.add_run("w1", "1", run_phase::stopping);
    work.leave();
    CHECK(work.count().size() == 1);
    CHECK(work.left().m_open_submissions == 0);
    CHECK(work.left().m_runs == 1);
}

// Guards against a new owner that knows nothing of organisations which left before it took over,
// also if its log takes long to read and no organisation is left in the configuration.
TEST_CASE("a new owner finds the work of organisations that had left before", "[organisation]")
{
    const bool stays_configured = GENERATE(false, true);
    CAPTURE(stays_configured);
    departing_work work;
    work.m_departures = {};
    work.m_state.m_loaded = false;
    set_configured(work.m_departures,
                   stays_configured ? make_directory({stays}) : organisation_directory(), start);
    work.m_now = start + seconds(60);
    CHECK(work.count().empty());
    work.add_submission("1", gone);
    work.m_state.m_loaded = true;
    CHECK(work.count().size() == 1);
    CHECK(work.left().m_open_submissions == 1);
}

// Guards against an organisation that is reported as gone after it was configured again.
TEST_CASE("an organisation that returns has not left", "[organisation]")
{
    departing_work work;
    work.add_submission("1", gone);
    work.leave();
    work.count();
    REQUIRE(work.m_departures.m_left.size() == 1);
    set_configured(work.m_departures, make_directory({gone, stays}), work.m_now);
    CHECK(work.m_departures.m_left.empty());
    work.count();
    CHECK(work.m_departures.m_left.empty());
}

// Guards against costs in deployments without organisations, and against counts in each round.
TEST_CASE("work is counted only for organisations that left and once per second", "[organisation]")
{
    departing_work work;
    departures none;
    set_configured(none, organisation_directory(), start);
    work.add_submission("1", organisation_id());
    // A new owner looks once whether it has inherited work of organisations.
    update_departures(none, work.m_state, start + seconds(1));
    update_departures(none, work.m_state, start + seconds(10));
    CHECK(none.m_counted_at == start + seconds(1));
    CHECK(none.m_left.empty());

    work.add_submission("2", gone);
    work.leave();
    work.count();
    const time_point counted_at = work.m_departures.m_counted_at;
    update_departures(work.m_departures, work.m_state, work.m_now + milliseconds(999));
    CHECK(work.m_departures.m_counted_at == counted_at);
}

} // namespace guavabay
