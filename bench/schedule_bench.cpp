#include <benchmark/benchmark.h>

#include <random>

#include "schedule/shard.h"

using namespace guavabay;

namespace {

constexpr resources worker_size{64000, 262144, 0};
constexpr milliseconds answer_delay{2};
constexpr milliseconds task_time{800};

wall_time wall_at(time_point now)
{
    return wall_time(std::chrono::duration_cast<milliseconds>(now.time_since_epoch()));
}

/// A run on one of the workers.
struct running {
    reported_run m_run;
    time_point m_ends{};
};

/// Workers that answer every order and end every run in time, without rules to check.
struct plain_workers {
    shard m_shard;
    time_point m_now{seconds(1000)};
    std::vector<worker_listing> m_listings;
    std::map<worker_id, std::vector<running>> m_running;
    std::map<worker_id, std::int64_t> m_ends;
    std::vector<std::pair<time_point, worker_order>> m_answers;

    explicit plain_workers(std::size_t count)
    {
        m_shard.m_service = service_id("s");
        m_shard.m_token = fencing_token(1);
        queue_contract contract;
        contract.m_queue = queue_id("q");
        contract.m_service = service_id("s");
        contract.m_stretch = 1.6;
        contract.m_target = milliseconds(600);
        contract.m_max_attempts = 2;
        set_queues(m_shard, {contract});
        finish_replay(m_shard, m_now);
        m_shard.m_may_start = true;
        m_shard.m_may_hold = true;
        for (std::size_t i = 0; i < count; ++i) {
            worker_listing listing;
            listing.m_id = worker_id("worker" + std::to_string(i));
            listing.m_address = "10.0.0.1:80";
            listing.m_service = service_id("s");
            listing.m_rack = rack_id("r" + std::to_string(i / 20));
            listing.m_capacity = worker_size;
            listing.m_incarnation_start_ms = 1;
            m_listings.push_back(listing);
        }
        update_workers(m_shard, m_listings, m_now);
        store();
        for (const worker_listing& listing : m_listings) {
            hold(listing.m_id);
        }
    }

    void store()
    {
        if (const std::optional<log_batch> batch = take_batch(m_shard)) {
            batch_stored(m_shard, *batch, wall_at(m_now));
        }
    }

    void hold(const worker_id& id)
    {
        next_hold(m_shard, id, m_now);
        worker_report report;
        report.m_clock_ms = to_unix(m_now);
        report.m_incarnation_start_ms = 1;
        std::vector<running>& runs = m_running[id];
        for (auto it = runs.begin(); it != runs.end();) {
            if (it->m_ends <= m_now) {
                report.m_ended.push_back(
                    {++m_ends[id], it->m_run.m_task, it->m_run.m_run, run_end::done, ""});
                it = runs.erase(it);
            }
            else {
                report.m_running.push_back(it->m_run);
                ++it;
            }
        }
        take_report(m_shard, id, report, m_now, m_now, wall_at(m_now));
    }

    static std::int64_t to_unix(time_point now)
    {
        return std::chrono::duration_cast<milliseconds>(now.time_since_epoch()).count();
    }

    /// One millisecond: ends, answers, and a plan if anything happened.
    void step(std::size_t turn)
    {
        m_now += milliseconds(1);
        bool changed = false;
        for (std::size_t i = turn % 20; i < m_listings.size(); i += 20) {
            hold(m_listings[i].m_id);
            changed = true;
        }
        while (!m_answers.empty() && m_answers.front().first <= m_now) {
            const worker_order order = m_answers.front().second;
            m_answers.erase(m_answers.begin());
            take_order_answer(m_shard, order, order_outcome::accepted, m_now, wall_at(m_now));
            changed = true;
        }
        if (changed) {
            plan(m_shard, m_now, wall_at(m_now));
        }
        for (const worker_order& order : m_shard.m_orders) {
            if (order.m_kind == worker_order::kind::start) {
                m_running[order.m_worker].push_back(
                    {{order.m_task, order.m_run, "", 0, 0}, m_now + task_time});
            }
            m_answers.emplace_back(m_now + answer_delay, order);
        }
        m_shard.m_orders.clear();
        m_shard.m_notes.clear();
    }
};

/// A second of a queue at its peak, at a share of what the pool holds.
void play_peak(benchmark::State& counters)
{
    const auto workers = static_cast<std::size_t>(counters.range(0));
    const double load = static_cast<double>(counters.range(1)) / 100.0;
    std::uint64_t starts = 0;
    for (auto _ : counters) {
        counters.PauseTiming();
        plain_workers pool(workers);
        std::mt19937_64 random(1);
        std::uniform_int_distribution<std::uint32_t> width(2, 14);
        const double cores = static_cast<double>(workers) * 64;
        double owed = 0;
        int number = 0;
        counters.ResumeTiming();
        for (std::size_t turn = 0; turn < 3000; ++turn) {
            owed += cores * load;
            while (owed > 0) {
                submission what;
                what.m_spec = "spec";
                submission_step one;
                one.m_task_count = width(random);
                one.m_demand = {6200, 18000, 0};
                one.m_estimate = task_time;
                what.m_steps.push_back(one);
                owed -= one.m_task_count * 6.2 * 800;
                char name[20];
                std::snprintf(name, sizeof name, "%016d", number++);
                admit(pool.m_shard, submission_id(name), queue_id("q"), what, pool.m_now,
                      wall_at(pool.m_now));
            }
            if (turn % 25 == 0) {
                pool.store();
            }
            pool.step(turn);
        }
        starts += pool.m_shard.m_starts;
    }
    counters.counters["starts"] =
        benchmark::Counter(static_cast<double>(starts), benchmark::Counter::kIsRate);
}

BENCHMARK(play_peak)
    ->Args({30, 70})
    ->Args({30, 150})
    ->Args({200, 70})
    ->Args({200, 150})
    ->Unit(benchmark::kMillisecond)
    ->Iterations(1);

} // namespace
