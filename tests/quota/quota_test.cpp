#include <catch2/catch.hpp>
#include <deque>
#include <random>

#include "quota/quota_allocator.h"
#include "schedule/quota_holder.h"
#include "schedule/shard_steps.h"

namespace guavabay {

namespace {

const organisation_id tenant("a");
constexpr std::int64_t cap = 1000;
constexpr resources one_task{10, 0, 0};

/// Shards that start and end tasks of one organisation and ask an allocator for quota, with
/// messages that get lost, arrive late and overtake each other. Runs in virtual time.
class quota_fixture {
public:
    explicit quota_fixture(std::size_t shards)
    {
        for (std::size_t i = 0; i < shards; ++i) {
            m_services.insert(service_id("s" + std::to_string(i)));
        }
        m_shards.resize(shards);
        set_cap(cap);
        for (std::size_t i = 0; i < shards; ++i) {
            replace_owner(i);
        }
        replace_allocator();
    }

    void set_cap(std::int64_t cpu)
    {
        m_directory = {};
        m_directory.add({tenant, {}, {1, {cpu, unlimited_amount, unlimited_amount}}});
        for (shard& each : m_shards) {
            set_organisations(each, m_directory, static_cast<std::uint32_t>(m_shards.size()));
        }
        if (m_allocator) {
            set_caps(*m_allocator, m_directory, m_services);
        }
    }

    /// Makes a new allocator that knows nothing.
    void replace_allocator()
    {
        m_allocator = make_quota_allocator(fencing_token(++m_next_token), seconds(15), m_now);
        set_caps(*m_allocator, m_directory, m_services);
    }

    /// Makes a new owner of a shard, which does not see the runs of `workers` workers yet.
    void replace_owner(std::size_t index, std::size_t workers = 0, std::int64_t each_cpu = 0)
    {
        shard& state = m_shards.at(index);
        state = shard();
        state.m_service = service_id("s" + std::to_string(index));
        state.m_token = fencing_token(++m_next_token);
        state.m_loaded = true;
        set_organisations(state, m_directory, static_cast<std::uint32_t>(m_shards.size()));
        for (std::size_t i = 0; i < workers; ++i) {
            const worker_id id("w" + std::to_string(i));
            auto worker = std::make_unique<worker_record>();
            worker->m_info.m_capacity = {each_cpu, 0, 0};
            state.m_workers[id] = std::move(worker);
            state.m_awaited_workers.insert(id);
        }
        if (workers > 0) {
            inherit_tasks(state);
        }
    }

    /// Adds a submission of a former owner, whose 90 tasks may run on the awaited workers.
    static void inherit_tasks(shard& state)
    {
        auto record = std::make_unique<submission_record>();
        record->m_id = submission_id("inherited");
        record->m_organisation = tenant;
        record->m_inherited = true;
        submission_step step;
        step.m_task_count = 90;
        step.m_demand = one_task;
        record->m_definition.m_steps.push_back(step);
        begin_occurrences(*record);
        state.m_open_submissions.insert(record.get());
        state.m_submissions[record->m_id] = std::move(record);
    }

    /// Starts as many of the wanted tasks as quota allows; returns how many.
    std::size_t start(std::size_t index, std::size_t tasks)
    {
        shard& state = m_shards.at(index);
        clear_blocked_by_quota(state);
        std::size_t started = 0;
        while (started < tasks && has_quota(state, tenant, one_task)) {
            add_usage(state, task_run());
            ++started;
        }
        if (started < tasks) {
            note_blocked_by_quota(state, tenant, one_task,
                                  static_cast<std::uint32_t>(tasks - started));
        }
        return started;
    }

    void end(std::size_t index, std::size_t tasks)
    {
        for (std::size_t i = 0; i < tasks; ++i) {
            remove_usage(m_shards.at(index), task_run());
        }
    }

    [[nodiscard]] std::int64_t used(std::size_t index) const
    {
        const auto found = m_shards.at(index).m_quotas.find(tenant);
        return found == m_shards.at(index).m_quotas.end() ? 0 : found->second.m_used.m_cpu_millis;
    }

    [[nodiscard]] std::int64_t used_by_all() const
    {
        std::int64_t sum = 0;
        for (std::size_t i = 0; i < m_shards.size(); ++i) {
            sum += used(i);
        }
        return sum;
    }

    /// Lets time pass; shards send what is due, and answers arrive after 2 to 5 ms, or not at all.
    void run_for(milliseconds length)
    {
        const time_point end = m_now + length;
        while (m_now < end) {
            m_now += milliseconds(1);
            for (shard& state : m_shards) {
                if (std::optional<quota_request> request = next_quota_request(state, m_now)) {
                    send(std::move(*request));
                }
            }
            deliver();
        }
    }

    static run_slot task_run()
    {
        run_slot slot;
        slot.m_organisation = tenant;
        slot.m_counted = one_task;
        return slot;
    }

    std::deque<shard> m_shards; ///< Not copied when it grows.
    std::optional<quota_allocator> m_allocator;
    double m_loss = 0;
    milliseconds m_max_delay{3};
    time_point m_now{seconds(100)};
    std::mt19937 m_random{1};
    std::set<service_id> m_services;

private:
    struct message {
        time_point m_at{};
        std::optional<quota_request> m_request;
        quota_reply m_reply;
        service_id m_service;
    };

    time_point arrival()
    {
        return m_now + milliseconds(1 + std::uniform_int_distribution<std::int64_t>(
                                            0, m_max_delay.count())(m_random));
    }

    bool is_lost() { return std::uniform_real_distribution<>(0, 1)(m_random) < m_loss; }

    void send(quota_request request)
    {
        const service_id service = request.m_service;
        if (!is_lost()) {
            m_messages.push_back({arrival(), std::move(request), {}, service});
        }
    }

    void deliver()
    {
        std::vector<message> due;
        std::erase_if(m_messages, [&](message& each) {
            if (each.m_at > m_now) {
                return false;
            }
            due.push_back(std::move(each));
            return true;
        });
        for (message& each : due) {
            if (!each.m_request) {
                for (shard& state : m_shards) {
                    if (state.m_service == each.m_service) {
                        apply_quota_reply(state, each.m_reply, m_now);
                    }
                }
                continue;
            }
            if (!m_allocator) {
                continue;
            }
            const std::optional<quota_reply> reply = allocate(*m_allocator, *each.m_request, m_now);
            if (reply && !is_lost()) {
                m_messages.push_back({arrival(), std::nullopt, *reply, each.m_service});
            }
        }
    }

    organisation_directory m_directory;
    std::vector<message> m_messages;
    std::int64_t m_next_token = 0;
};

} // namespace

// Guards against a fixed split of a cap, which starves the shard whose queue peaks.
TEST_CASE("one shard gets the whole cap while the others need nothing", "[quota]")
{
    quota_fixture fixture(5);
    fixture.run_for(milliseconds(100));
    fixture.start(0, 200);
    fixture.run_for(milliseconds(100));
    fixture.start(0, 200);
    CHECK(fixture.used(0) == cap);
}

// Guards against owners of several shards that together exceed the cap, and against a shard that
// gets nothing while another one uses the cap.
TEST_CASE("two shards that need the whole cap stay within it and share it", "[quota]")
{
    quota_fixture fixture(2);
    fixture.run_for(milliseconds(100));
    for (int round = 0; round < 200; ++round) {
        fixture.start(0, 200);
        fixture.start(1, 200);
        CHECK(fixture.used_by_all() <= cap);
        fixture.run_for(milliseconds(20));
        fixture.end(0, std::min<std::size_t>(5, fixture.used(0) / one_task.m_cpu_millis));
        fixture.end(1, std::min<std::size_t>(5, fixture.used(1) / one_task.m_cpu_millis));
    }
    CHECK(fixture.used(0) >= cap / 4);
    CHECK(fixture.used(1) >= cap / 4);
}

// Guards against an allocation that stays with a shard that no longer needs it.
TEST_CASE("an allocation that is not used goes back within a second", "[quota]")
{
    quota_fixture fixture(2);
    fixture.run_for(milliseconds(100));
    fixture.start(0, 200);
    fixture.run_for(milliseconds(100));
    fixture.start(0, 200);
    fixture.end(0, cap / one_task.m_cpu_millis);
    fixture.start(0, 0);
    fixture.run_for(milliseconds(1000));
    fixture.start(1, 200);
    fixture.run_for(milliseconds(100));
    fixture.start(1, 200);
    CHECK(fixture.used(1) == cap);
}

// Guards against an allocator that hands out again what its predecessor had granted.
TEST_CASE("a new allocator learns what is held before it grants more", "[quota]")
{
    quota_fixture fixture(3);
    fixture.run_for(milliseconds(100));
    fixture.start(0, 60);
    fixture.run_for(milliseconds(100));
    fixture.start(0, 60);
    REQUIRE(fixture.used(0) == 600);
    fixture.replace_allocator();
    for (int round = 0; round < 50; ++round) {
        fixture.start(1, 200);
        fixture.start(2, 200);
        CHECK(fixture.used_by_all() <= cap);
        fixture.run_for(milliseconds(20));
    }
    CHECK(fixture.used_by_all() == cap);
}

// Guards against a new owner that starts tasks beside runs of its predecessor which it does not see
// yet.
TEST_CASE("runs that a new owner does not see yet count", "[quota]")
{
    quota_fixture fixture(2);
    fixture.run_for(milliseconds(100));
    fixture.start(0, 90);
    fixture.run_for(milliseconds(100));
    fixture.start(0, 90);
    REQUIRE(fixture.used(0) == 900);
    // The 900 of the former owner run on; the new owner sees none of them.
    fixture.replace_owner(0, 4, 500);
    for (int round = 0; round < 20; ++round) {
        fixture.run_for(milliseconds(20));
        fixture.start(0, 50);
        fixture.start(1, 50);
        CHECK(fixture.used_by_all() <= cap - 900);
    }
    // The reports show that only 300 are left.
    shard& owner = fixture.m_shards[0];
    owner.m_awaited_workers.clear();
    for (int i = 0; i < 30; ++i) {
        add_usage(owner, quota_fixture::task_run());
    }
    fixture.run_for(milliseconds(600));
    fixture.start(1, 200);
    CHECK(fixture.used_by_all() <= cap);
    CHECK(fixture.used(1) >= 500);
}

// Guards against lost, late and reordered messages, replaced owners and replaced allocators that
// let the shards exceed the cap together.
TEST_CASE("the cap holds under random losses and replacements", "[quota]")
{
    for (unsigned seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        quota_fixture fixture(4);
        fixture.m_random.seed(seed);
        fixture.m_loss = 0.2;
        fixture.m_max_delay = milliseconds(120);
        std::mt19937 random(seed);
        for (int round = 0; round < 400; ++round) {
            const std::size_t index = random() % 4;
            fixture.start(index, random() % 120);
            REQUIRE(fixture.used_by_all() <= cap);
            const auto running =
                static_cast<std::size_t>(fixture.used(index) / one_task.m_cpu_millis);
            fixture.end(index, running * (random() % 100) / 100);
            if (random() % 100 == 0) {
                fixture.replace_allocator();
            }
            fixture.run_for(milliseconds(random() % 60));
        }
    }
}

// Guards against organisations that wait for workers which have not reported although none of their
// work can run there: all hosts were lost at once, so that the allocator is new as well.
TEST_CASE("an organisation without inherited work need not wait for silent workers", "[quota]")
{
    quota_fixture fixture(2);
    fixture.replace_owner(0, 4, 500);
    fixture.replace_owner(1, 4, 500);
    for (shard& each : fixture.m_shards) {
        each.m_open_submissions.clear();
    }
    fixture.replace_allocator();
    fixture.run_for(milliseconds(100));
    fixture.start(0, 200);
    fixture.run_for(milliseconds(100));
    CHECK(fixture.start(0, 200) > 0);
    CHECK(fixture.used(0) == cap);
}

// Guards against a lowered cap that stops running tasks or lets new ones start.
TEST_CASE("under a lowered cap nothing starts until enough has ended", "[quota]")
{
    quota_fixture fixture(2);
    fixture.run_for(milliseconds(100));
    fixture.start(0, 200);
    fixture.run_for(milliseconds(100));
    fixture.start(0, 200);
    REQUIRE(fixture.used(0) == cap);
    fixture.set_cap(500);
    fixture.run_for(milliseconds(600));
    CHECK(fixture.start(0, 10) == 0);
    CHECK(fixture.start(1, 10) == 0);
    fixture.start(1, 0);
    fixture.end(0, 60);
    fixture.run_for(milliseconds(300));
    fixture.start(0, 200);
    fixture.run_for(milliseconds(300));
    fixture.start(0, 200);
    CHECK(fixture.used_by_all() == 500);
}

// Guards against a removed organisation whose running work no longer counts when it comes back.
TEST_CASE("the work of a removed organisation keeps its terms while it runs", "[quota]")
{
    quota_fixture fixture(2);
    fixture.run_for(milliseconds(100));
    fixture.start(0, 50);
    fixture.run_for(milliseconds(100));
    fixture.start(0, 50);
    set_organisations(fixture.m_shards[0], {}, 2);
    CHECK_FALSE(has_quota(fixture.m_shards[0], tenant, {cap, 0, 0}));
    fixture.end(0, 50);
    set_organisations(fixture.m_shards[0], {}, 2);
    CHECK(fixture.m_shards[0].m_organisations.empty());
}

// Guards against a shard that stands still without an allocator although the rules tolerate an
// overage, and against shards that use the overage more than once together.
TEST_CASE("without an allocator the shards use the tolerated overage at most", "[quota]")
{
    quota_fixture fixture(5);
    fixture.m_allocator.reset();
    for (shard& each : fixture.m_shards) {
        each.m_bounds.m_quota_overage = 0.1;
    }
    for (std::size_t i = 0; i < fixture.m_shards.size(); ++i) {
        CHECK(fixture.start(i, 100) == 2);
    }
    CHECK(fixture.used_by_all() == cap / 10);
}

// Guards against a task larger than its organisation's cap that never starts.
TEST_CASE("a task that is larger than the cap may run alone", "[quota]")
{
    quota_fixture fixture(2);
    fixture.run_for(milliseconds(100));
    const resources large{cap * 2, 0, 0};
    note_blocked_by_quota(fixture.m_shards[0], tenant, large, 1);
    fixture.run_for(milliseconds(100));
    CHECK(has_quota(fixture.m_shards[0], tenant, large));
    CHECK(fixture.start(1, 5) == 0);
}

// Guards against requests for quota from deployments whose organisations have no cap.
TEST_CASE("without caps no quota is asked for", "[quota]")
{
    quota_fixture fixture(2);
    fixture.run_for(milliseconds(300));
    fixture.set_cap(unlimited_amount);
    shard& state = fixture.m_shards[0];
    fixture.run_for(milliseconds(300));
    const std::uint64_t before = state.m_quota_sequence;
    fixture.start(0, 100);
    fixture.run_for(milliseconds(1000));
    CHECK(fixture.used(0) == 1000);
    CHECK(state.m_quota_sequence == before);
}

} // namespace guavabay
