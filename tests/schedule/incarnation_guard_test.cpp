#include <catch2/catch.hpp>

#include "schedule/incarnation_guard.h"
#include "support/virtual_pool.h"

namespace guavabay {

namespace {

constexpr std::int64_t first_start_ms = 1000;
constexpr std::int64_t second_start_ms = 2000;
constexpr milliseconds longest{10204};
const time_point start{seconds(100)};

} // namespace

TEST_CASE("a settled incarnation needs no guard", "[incarnation_guard]")
{
    incarnation_guard guard;
    guard.m_settled_start_ms = first_start_ms;
    CHECK_FALSE(note_answer(guard, first_start_ms, start, start + milliseconds(5), longest));
    CHECK_FALSE(settle(guard, first_start_ms, start + seconds(60)));
}

TEST_CASE("an incarnation that the log does not name settles after the longest lease",
          "[incarnation_guard]")
{
    incarnation_guard guard;
    guard.m_settled_start_ms = first_start_ms;
    CHECK(note_answer(guard, second_start_ms, start, start, longest));
    // Further answers lengthen nothing: the owner's token has been seen with the first one.
    CHECK_FALSE(
        note_answer(guard, second_start_ms, start + seconds(1), start + seconds(1), longest));
    CHECK_FALSE(settle(guard, second_start_ms, start + longest - milliseconds(1)));
    CHECK(settle(guard, second_start_ms, start + longest));
    CHECK_FALSE(settle(guard, second_start_ms, start + longest));
    CHECK(guard.m_settled_start_ms == second_start_ms);
}

// Guards against a lease that is counted from an answer to a hold with the former token: later
// calls for the former incarnation may still lengthen it.
TEST_CASE("a restarted worker is guarded from its first answer to the new token on",
          "[incarnation_guard]")
{
    incarnation_guard guard;
    guard.m_settled_start_ms = first_start_ms;
    begin_guard(guard);
    note_hold_prepared(guard, start);
    CHECK(note_answer(guard, second_start_ms, start, start + milliseconds(5), longest));
    CHECK_FALSE(guard.m_complete);
    // A hold that was sent before the token was known is answered after it.
    set_guard_token(guard, fencing_token(7));
    note_hold_prepared(guard, start + milliseconds(20));
    CHECK(note_answer(guard, second_start_ms, start + milliseconds(10), start + milliseconds(25),
                      longest));
    CHECK_FALSE(guard.m_complete);
    CHECK(note_answer(guard, second_start_ms, start + milliseconds(20), start + milliseconds(30),
                      longest));
    CHECK(guard.m_complete);
    CHECK(guard.m_settles_at == start + milliseconds(30) + longest);
}

TEST_CASE("the token of a worker never falls", "[incarnation_guard]")
{
    incarnation_guard guard;
    set_guard_token(guard, fencing_token(7));
    begin_guard(guard);
    CHECK(guard.m_token_pending);
    set_guard_token(guard, fencing_token(0));
    CHECK(guard.m_token == fencing_token(7));
    CHECK_FALSE(guard.m_token_pending);
}

// Guards against a shard that is given up because a worker refuses the owner's own earlier call.
TEST_CASE("a refusal because of the owner's own newer token means not executed",
          "[incarnation_guard]")
{
    virtual_pool pool(1, {16000, 32768, 0}, 91);
    pool.run_for(milliseconds(200));
    shard& state = pool.current_owner().m_shard;
    const worker_id id("w0");
    const fencing_token former = token_of(state, id);
    pool.crash_worker(0);
    pool.restart_worker(0, milliseconds(0));
    pool.run_for(milliseconds(200));
    REQUIRE(token_of(state, id) > former);
    CHECK(judge_refusal(state, id, former, order_outcome::refused_stale_token) ==
          order_outcome::withheld);
    CHECK(judge_refusal(state, id, token_of(state, id), order_outcome::refused_stale_token) ==
          order_outcome::refused_stale_token);
    CHECK(judge_refusal(state, id, former, order_outcome::unknown) == order_outcome::unknown);
    pool.submit("a", make_submission({1}, {2000, 1000, 0}, milliseconds(100)));
    pool.run_for(milliseconds(500));
    CHECK(pool.state("a") == submission_state::succeeded);
    CHECK(pool.violations().empty());
}

} // namespace guavabay
