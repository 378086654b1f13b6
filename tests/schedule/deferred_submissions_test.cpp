#include <catch2/catch.hpp>

#include "schedule/shard_steps.h"
#include "submission/submission_cost.h"
#include "support/virtual_pool.h"

namespace guavabay {

namespace {

constexpr resources small_task{1000, 100, 0};
const submission_id first("first");
const submission_id second("second");
const time_point now{seconds(1000)};
const wall_time wall{milliseconds(1700000000000)};

/// Log entry of an accepted submission of one task that may fail once.
log_entry accepted(const submission_id& id)
{
    log_accepted entry;
    entry.m_id = id;
    entry.m_queue = queue_id("queue");
    entry.m_accepted_ms = wall.time_since_epoch().count();
    entry.m_submission = make_submission({1}, small_task, milliseconds(500));
    return entry;
}

/// A shard with room for one submission whose log has two.
struct full_shard {
    full_shard()
    {
        m_state.m_budget = make_submission_budget(1);
        m_state.m_budget->m_max_bytes =
            open_submission_bytes(make_submission({1}, small_task, milliseconds(500))) * 3 / 2;
        m_state.m_queues[queue_id("queue")].m_queue = queue_id("queue");
        replay_entry(m_state, accepted(first), now, wall, 1);
        replay_entry(m_state, accepted(second), now, wall, 2);
        finish_replay(m_state, now, wall);
    }

    /// Reads the log for deferred submissions, with more entries behind the accepted ones.
    void read_log(const std::vector<log_entry>& more)
    {
        std::unordered_set<submission_id> loaded;
        for (const submission_id& id : {first, second}) {
            replay_deferred(m_state, accepted(id), loaded, now, wall);
        }
        for (const log_entry& entry : more) {
            replay_deferred(m_state, entry, loaded, now, wall);
        }
        finish_deferred(m_state, loaded, wall);
    }

    shard m_state;
};

} // namespace

TEST_CASE("a submission of the log without room is known and waits", "[deferred]")
{
    full_shard given;
    shard& state = given.m_state;
    CHECK(state.m_submissions.contains(first));
    CHECK_FALSE(state.m_submissions.contains(second));
    CHECK(state_of(state, second) == submission_state::pending);
    CHECK(pending_count(state, queue_id("queue")) == 2);
    CHECK(admit(state, second, queue_id("queue"), {}, now, wall).m_answer ==
          admission::already_stored);
    CHECK_FALSE(find_deferred_record(state).has_value());
}

TEST_CASE("a deferred submission is loaded when another has ended", "[deferred]")
{
    full_shard given;
    shard& state = given.m_state;
    close_submission(state, *state.m_submissions.at(first), submission_state::succeeded, wall);
    // The final state is forgotten later; it holds less than an open submission.
    state.m_submissions.erase(first);
    CHECK(find_deferred_record(state) == 2);
    given.read_log({});
    CHECK(state.m_deferred.empty());
    CHECK(state.m_open_submissions.contains(state.m_submissions.at(second).get()));
}

TEST_CASE("ends of a deferred submission go to the log and are replayed", "[deferred]")
{
    full_shard given;
    shard& state = given.m_state;
    const task_name task{second, 0, 0, 0};
    const bool is_done = GENERATE(true, false);
    CHECK(note_deferred_end(state, task, is_done, run_number(7)));
    CHECK(state_of(state, second) == submission_state::running);
    const std::vector<log_entry> entries = state.m_pending.m_entries;
    state.m_submissions.erase(first);
    state.m_open_submissions.clear();
    given.read_log({entries.back()});
    // Its queue allows a single attempt.
    CHECK(state.m_submissions.at(second)->m_final ==
          (is_done ? submission_state::succeeded : submission_state::failed));
}

TEST_CASE("a deferred submission can be cancelled", "[deferred]")
{
    full_shard given;
    shard& state = given.m_state;
    take_batch(state);
    CHECK(cancel(state, second));
    mark_batch_stored(state, take_batch(state).value(), wall);
    CHECK(state.m_deferred.empty());
    CHECK(state_of(state, second) == submission_state::canceled);
}

TEST_CASE("the runs of a deferred submission are stopped before it is loaded", "[deferred]")
{
    full_shard given;
    shard& state = given.m_state;
    auto worker = std::make_unique<worker_record>();
    run_slot slot;
    slot.m_task = {second, 0, 0, 0};
    slot.m_run = run_number(1);
    add_run(state, *worker, slot);
    state.m_workers[worker_id("w")] = std::move(worker);
    state.m_submissions.erase(first);
    state.m_open_submissions.clear();
    given.read_log({});
    CHECK(state.m_deferred.contains(second));
}

} // namespace guavabay
