#include <catch2/catch.hpp>
#include <cstdlib>

#include "support/virtual_pool.h"

namespace guavabay {

namespace {

constexpr resources worker_size{16000, 32768, 0};
constexpr std::size_t worker_count = 6;

/// Seeds that each run of the tests plays. GUAVABAY_CANCEL_SEEDS=FIRST-LAST plays others.
constexpr std::uint64_t last_seed = 40;

/// Longest time for which a disturbance lasts.
constexpr int longest_disturbance_ms = 4000;

/// Calm in which runs of cancelled submissions have to be gone, also of those whose cancellation
/// has no answer, and the longest wait for it, in which the last late order arrives.
constexpr seconds required_calm{8};
constexpr seconds longest_calm{22};

/// Longest way of an answer in calm.
constexpr milliseconds calm_answer_time{100};

/// First and last seed to play.
std::pair<std::uint64_t, std::uint64_t> seed_range()
{
    const char* text = std::getenv("GUAVABAY_CANCEL_SEEDS");
    if (text == nullptr) {
        return {1, last_seed};
    }
    char* end = nullptr;
    const std::uint64_t first = std::strtoull(text, &end, 10);
    return {first, *end == '-' ? std::strtoull(end + 1, nullptr, 10) : first};
}

/// A pool with random submissions, cancellations and disturbances.
class disturbed_pool {
public:
    explicit disturbed_pool(std::uint64_t seed)
        : m_pool(worker_count, worker_size, seed), m_random(seed), m_back_at(worker_count)
    {
        m_pool.m_checks_cancellations = true;
        m_pool.m_limits_renewals = true;
        m_pool.m_duration_sigma = 0.4;
        m_pool.m_late_deadlines_move = pick(0, 1) == 1;
        m_has_many_late_orders = pick(0, 2) > 0;
        m_pool.m_list_interval = milliseconds(pick(0, 1) * pick(200, 1500));
        m_pool.m_max_write_time = milliseconds(pick(0, 2) * pick(0, 200));
        m_pool.m_max_answer_time = milliseconds(pick(0, 1) * pick(1, 600));
    }

    /// Plays the disturbances and the calm after them.
    void play()
    {
        const int rounds = pick(30, 90);
        for (int i = 0; i < rounds; ++i) {
            hand_in(i);
            if (pick(0, 2) == 0) {
                disturb_worker(static_cast<std::size_t>(pick(0, worker_count - 1)));
            }
            if (m_has_many_late_orders && pick(0, 9) == 0) {
                delay_orders_of_all();
            }
            if (pick(0, 3) == 0) {
                restart_with_late_orders();
            }
            if (pick(0, 9) == 0) {
                disturb_owner();
            }
            pass(milliseconds(pick(5, 250)));
        }
        end_disturbances();
        if (pick(0, 1) == 0) {
            // The last late orders reach new lives of their workers.
            for (int i = pick(1, 5); i > 0; --i) {
                pass(milliseconds(pick(1, 1500)));
                restart_with_late_orders();
            }
        }
        const time_point latest_end = m_pool.now() + longest_calm;
        while (m_pool.now() < latest_end && m_pool.now() - m_pool.calm_since() < required_calm) {
            pass(milliseconds(100));
        }
    }

    virtual_pool m_pool;

private:
    int pick(int low, int high) { return std::uniform_int_distribution<int>(low, high)(m_random); }

    submission make_work()
    {
        submission what = make_submission(
            {static_cast<std::uint32_t>(pick(1, 5)), static_cast<std::uint32_t>(pick(1, 3))},
            {pick(1, 4) * 500L, pick(1, 4) * 500L, 0}, milliseconds(pick(100, 6000)));
        if (pick(0, 1) == 0) {
            what.m_steps.resize(1);
            what.m_steps[0].m_long_running = true;
            what.m_steps[0].m_max_unavailable = pick(-1, 1);
            what.m_steps[0].m_max_per_worker = static_cast<std::uint32_t>(pick(0, 2));
        }
        return what;
    }

    /// Hands work in, and cancels it at once, soon, later or never.
    void hand_in(int number)
    {
        const std::string id = "a" + std::to_string(number);
        m_pool.submit(id, make_work());
        switch (pick(0, 4)) {
        case 0:
            cancel(id);
            break;
        case 1:
            pass(milliseconds(pick(1, 80)));
            cancel(id);
            break;
        case 2:
        case 3:
            m_cancel_at.emplace_back(m_pool.now() + milliseconds(pick(1, 5000)), id);
            break;
        default:
            break;
        }
    }

    /// Cancels a submission until an owner has answered that it is cancelled or unknown.
    void cancel(const std::string& id)
    {
        if (m_pool.cancel(id)) {
            m_asked.insert(id);
        }
        else {
            m_pool.m_cancellations.erase(id);
        }
    }

    void disturb_worker(std::size_t index)
    {
        virtual_worker& worker = m_pool.m_workers[index];
        if (!worker.m_up || worker.m_is_other_lifetime) {
            return;
        }
        m_back_at[index] = m_pool.now() + milliseconds(pick(1, longest_disturbance_ms));
        switch (pick(0, m_has_many_late_orders ? 15 : 9)) {
        case 0:
        case 1:
            m_pool.crash_worker(index);
            break;
        case 2:
            m_pool.crash_worker(index);
            worker.m_up = true;
            worker.m_is_other_lifetime = true;
            break;
        case 3:
            m_pool.crash_worker(index);
            m_pool.restart_at_other_service(index);
            break;
        case 4:
            worker.m_up = false;
            worker.m_is_frozen = true;
            break;
        case 5:
            worker.m_lost_hold_share = 0.7;
            break;
        case 6:
            worker.m_partitioned_owners.insert(m_pool.m_owners.size() - 1);
            worker.m_listed = pick(0, 1) == 0;
            break;
        case 7:
            worker.m_listed = false;
            break;
        default:
            worker.m_delayed_share = pick(0, 3) == 0 ? 0 : pick(3, 9) * 0.1;
            worker.m_delayed_hold_share = pick(0, 1) == 0 ? 0 : 0.3;
            break;
        }
    }

    /// Lets all workers execute most orders late for a while.
    void delay_orders_of_all()
    {
        for (std::size_t i = 0; i < m_pool.m_workers.size(); ++i) {
            if (m_back_at[i] == time_point{}) {
                m_pool.m_workers[i].m_delayed_share = pick(4, 9) * 0.1;
                m_back_at[i] = m_pool.now() + milliseconds(pick(1, longest_disturbance_ms));
            }
        }
    }

    /// Restarts a worker to which orders are under way, so that its new life gets them.
    void restart_with_late_orders()
    {
        const std::size_t first = static_cast<std::size_t>(pick(0, worker_count - 1));
        for (std::size_t i = 0; i < m_pool.m_workers.size(); ++i) {
            const std::size_t index = (first + i) % m_pool.m_workers.size();
            const virtual_worker& worker = m_pool.m_workers[index];
            if (m_pool.has_late_order(index) && worker.m_up && !worker.m_is_other_lifetime) {
                m_pool.crash_worker(index);
                m_back_at[index] = m_pool.now() + milliseconds(pick(1, 400));
                return;
            }
        }
    }

    void restore_worker(std::size_t index)
    {
        virtual_worker& worker = m_pool.m_workers[index];
        worker.m_delayed_share = 0;
        worker.m_delayed_hold_share = 0;
        worker.m_lost_hold_share = 0;
        worker.m_partitioned_owners.clear();
        worker.m_listed = true;
        if (worker.m_is_frozen) {
            worker.m_is_frozen = false;
            worker.m_up = true;
        }
        const bool is_elsewhere = worker.m_listing.m_service != service_id("s");
        if (!worker.m_up || worker.m_is_other_lifetime || is_elsewhere) {
            if (is_elsewhere || worker.m_is_other_lifetime) {
                m_pool.crash_worker(index);
            }
            worker.m_is_other_lifetime = false;
            worker.m_listing.m_service = service_id("s");
            if (pick(0, 1) == 0) {
                worker.m_new_address = "10.0.1." + std::to_string(++m_addresses) + ":80";
            }
            m_pool.restart_worker(index, milliseconds(pick(0, 1) * pick(0, 900)));
        }
        m_pool.disturb();
        m_back_at[index] = {};
    }

    void disturb_owner()
    {
        virtual_owner& owner = m_pool.current_owner();
        if (!owner.m_alive || owner.m_shard.m_lost || !owner.m_has_store) {
            return;
        }
        m_owner_until = m_pool.now() + milliseconds(pick(1, longest_disturbance_ms));
        switch (pick(0, 5)) {
        case 0:
            owner.m_alive = false;
            m_needs_owner = true;
            m_owner_until = m_pool.now() + milliseconds(pick(1, 1800));
            break;
        case 1:
            // A frozen owner wakes beside its successor.
            owner.m_alive = false;
            owner.m_has_store = false;
            m_woken = m_pool.m_owners.size() - 1;
            m_needs_owner = true;
            break;
        case 2:
            m_pool.release();
            m_needs_owner = true;
            m_owner_until = m_pool.now() + milliseconds(pick(1, 300));
            break;
        case 3:
            owner.m_has_store = false;
            m_needs_owner = true;
            break;
        case 4:
            for (virtual_worker& worker : m_pool.m_workers) {
                if (pick(0, 1) == 0) {
                    worker.m_partitioned_owners.insert(m_pool.m_owners.size() - 1);
                }
            }
            [[fallthrough]];
        default:
            owner.m_has_store = false;
            break;
        }
    }

    void restore_owner()
    {
        m_owner_until = {};
        for (virtual_worker& worker : m_pool.m_workers) {
            worker.m_partitioned_owners.clear();
        }
        if (!m_needs_owner) {
            m_pool.current_owner().m_has_store = true;
            m_pool.disturb();
            return;
        }
        m_needs_owner = false;
        m_pool.change_owner();
        for (const std::string& id : m_asked) {
            const auto found = m_pool.m_cancellations.find(id);
            if (found != m_pool.m_cancellations.end() && !found->second.m_stored_at) {
                cancel(id);
            }
        }
        if (m_woken) {
            m_pool.m_owners[*m_woken]->m_alive = true;
            m_woken.reset();
        }
    }

    /// A superseded owner learns so when it reaches the store again.
    void retire_former_owners()
    {
        for (std::size_t i = 0; i + 1 < m_pool.m_owners.size(); ++i) {
            virtual_owner& owner = *m_pool.m_owners[i];
            if (owner.m_alive && !owner.m_shard.m_lost &&
                m_pool.now() > owner.m_proven_at + milliseconds(longest_disturbance_ms)) {
                owner.m_has_store = true;
            }
        }
    }

    void pass(milliseconds length)
    {
        const time_point until = m_pool.now() + length;
        while (m_pool.now() < until) {
            m_pool.run_for(milliseconds(1));
            for (std::size_t i = 0; i < m_back_at.size(); ++i) {
                if (m_back_at[i] != time_point{} && m_pool.now() >= m_back_at[i]) {
                    restore_worker(i);
                }
            }
            if (m_owner_until != time_point{} && m_pool.now() >= m_owner_until) {
                restore_owner();
            }
            if (m_owner_until == time_point{} && m_pool.current_owner().m_shard.m_lost) {
                m_needs_owner = true;
                m_owner_until = m_pool.now() + milliseconds(pick(100, 700));
            }
            retire_former_owners();
            for (std::size_t i = 0; i < m_cancel_at.size();) {
                if (m_pool.now() < m_cancel_at[i].first) {
                    ++i;
                    continue;
                }
                cancel(m_cancel_at[i].second);
                m_cancel_at.erase(m_cancel_at.begin() + static_cast<std::ptrdiff_t>(i));
            }
        }
    }

    void end_disturbances()
    {
        m_pool.m_max_answer_time = std::min(m_pool.m_max_answer_time, calm_answer_time);
        if (m_owner_until != time_point{}) {
            restore_owner();
        }
        for (std::size_t i = 0; i < m_back_at.size(); ++i) {
            restore_worker(i);
        }
    }

    std::mt19937_64 m_random;
    std::vector<time_point> m_back_at;
    time_point m_owner_until{};
    bool m_needs_owner = false;
    std::optional<std::size_t> m_woken; ///< An owner that wakes when its successor begins.
    bool m_has_many_late_orders = false;
    int m_addresses = 0;
    std::vector<std::pair<time_point, std::string>> m_cancel_at;
    std::set<std::string> m_asked;
};

} // namespace

// Guards against a check that finds nothing.
TEST_CASE("the check of cancelled submissions finds runs that go on", "[random_cancellations]")
{
    virtual_pool pool(1, worker_size, 1);
    pool.m_checks_cancellations = true;
    pool.run_for(milliseconds(200));
    pool.submit("a", make_submission({1}, {1000, 1000, 0}, seconds(60)));
    pool.run_for(milliseconds(200));
    REQUIRE(pool.m_workers[0].m_runs.size() == 1);
    const auto [key, run] = *pool.m_workers[0].m_runs.begin();
    pool.cancel("a");
    pool.run_for(seconds(5));
    CHECK(pool.m_workers[0].m_runs.empty());
    CHECK(pool.violations().empty());
    // A worker of which the owner learns nothing has the run again.
    pool.m_workers[0].m_lease_until = pool.now() + seconds(60);
    pool.current_owner().m_next_hold = pool.now() + seconds(60);
    pool.m_workers[0].m_runs[key] = run;
    pool.check_cancelled_runs();
    pool.check_cancelled_runs();
    REQUIRE(pool.violations().size() == 1);
    CHECK(pool.violations()[0].find("UNASKED runs on a.0.0.0") == 0);
}

TEST_CASE("the check of cancelled submissions allows for disturbances and late starts",
          "[random_cancellations]")
{
    const time_point start{seconds(100)};
    const milliseconds stop_time{150};
    virtual_run run;
    run.m_started = start - seconds(10);
    const requested_cancellation stored{start, start + milliseconds(20)};
    CHECK(last_moment_of_run(stored, run, {}, start + seconds(1)) ==
          start + milliseconds(3020) + stop_time);
    CHECK(last_moment_of_run(stored, run, start + seconds(5), start + seconds(5)) ==
          start + seconds(8) + stop_time);
    run.m_started = start + seconds(6);
    run.m_started_late = true;
    CHECK(last_moment_of_run(stored, run, start + seconds(5), start + seconds(6)) ==
          start + seconds(9) + stop_time);
    const requested_cancellation waiting{start, std::nullopt};
    run.m_started_late = false;
    CHECK(last_moment_of_run(waiting, run, {}, start + milliseconds(3999)) == std::nullopt);
    CHECK(last_moment_of_run(waiting, run, {}, start + seconds(4)) ==
          start + seconds(7) + stop_time);
    CHECK(last_moment_of_run(waiting, run, start + seconds(1), start + seconds(4)) == std::nullopt);
}

// Guards against owners that lose their shard to another service's owner, again and again: a worker
// that comes back under its id in another service still gets holds of its former one.
TEST_CASE("a worker that returns in another service costs its former owner nothing",
          "[random_cancellations]")
{
    virtual_pool pool(2, worker_size, 1);
    pool.m_checks_cancellations = true;
    pool.run_for(milliseconds(500));
    pool.crash_worker(0);
    pool.run_for(milliseconds(500));
    pool.restart_at_other_service(0);
    pool.run_for(seconds(10));
    CHECK_FALSE(pool.current_owner().m_shard.m_lost);
}

// Guards against runs of cancelled submissions that go on, and starts of cancelled submissions,
// where orders are executed late, workers restart, leave and move, and owners change.
TEST_CASE("runs of cancelled submissions end in calm", "[random_cancellations]")
{
    const auto [first, last] = seed_range();
    std::size_t checked_runs = 0;
    std::size_t late_starts = 0;
    for (std::uint64_t seed = first; seed <= last; ++seed) {
        CAPTURE(seed);
        disturbed_pool given(seed);
        given.play();
        checked_runs += given.m_pool.m_checked_runs;
        late_starts += given.m_pool.m_late_starts_after_cancel;
        std::string found;
        for (const std::string& text : given.m_pool.violations()) {
            // The other rules have tests of their own, with the disturbances that they allow for.
            found += text.starts_with("UNASKED") ? text + "\n" : "";
        }
        CHECK_THAT(found, Catch::Matchers::Equals(std::string()));
    }
    // A test that plays no such case shows nothing.
    if (first == 1 && last >= last_seed) {
        CHECK(checked_runs > 0);
        CHECK(late_starts > 0);
    }
}

} // namespace guavabay
