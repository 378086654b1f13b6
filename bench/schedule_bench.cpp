#include <benchmark/benchmark.h>

#include <random>

#include "schedule/shard.h"

using namespace guavabay;

namespace {

constexpr resources worker_capacity{64000, 262144, 0};
constexpr milliseconds order_answer_delay{2};
constexpr milliseconds task_duration{800};

wall_time to_wall_time(time_point now)
{
    return wall_time(std::chrono::duration_cast<milliseconds>(now.time_since_epoch()));
}

/// A run on a simulated worker.
struct simulated_run {
    reported_run m_run;
    time_point m_ends_at{};
};

/// A shard with workers that accept every order and finish every run on time. Checks
/// no invariants.
struct simulated_pool {
    shard m_shard;
    time_point m_now{seconds(1000)};
    std::vector<worker_listing> m_listings;
    std::map<worker_id, std::vector<simulated_run>> m_running;
    std::map<worker_id, std::int64_t> m_last_end;
    std::vector<std::pair<time_point, worker_order>> m_answers;

    explicit simulated_pool(std::size_t count)
    {
        m_shard.m_service = service_id("s");
        m_shard.m_token = fencing_token(1);
        queue_contract contract;
        contract.m_queue = queue_id("q");
        contract.m_service = service_id("s");
        contract.m_stretch_factor = 1.6;
        contract.m_target = milliseconds(600);
        contract.m_max_attempts = 2;
        set_queues(m_shard, {contract});
        finish_replay(m_shard, m_now, to_wall_time(m_now));
        m_shard.m_may_start = true;
        m_shard.m_may_hold = true;
        for (std::size_t i = 0; i < count; ++i) {
            worker_listing listing;
            listing.m_id = worker_id("worker" + std::to_string(i));
            listing.m_address = "10.0.0.1:80";
            listing.m_service = service_id("s");
            listing.m_rack = rack_id("r" + std::to_string(i / 20));
            listing.m_capacity = worker_capacity;
            listing.m_incarnation_start_ms = 1;
            m_listings.push_back(listing);
        }
        update_workers(m_shard, m_listings, m_now);
        store_pending_batch();
        for (const worker_listing& listing : m_listings) {
            send_hold(listing.m_id);
        }
    }

    /// Reports the pending batch as durable at once.
    void store_pending_batch()
    {
        if (const std::optional<log_batch> batch = take_batch(m_shard)) {
            mark_batch_stored(m_shard, *batch, to_wall_time(m_now));
        }
    }

    /// Renews a worker's lease and applies a report with its finished and running runs.
    void send_hold(const worker_id& id)
    {
        next_hold_request(m_shard, id, m_now);
        worker_report report;
        report.m_clock_ms = to_unix_ms(m_now);
        report.m_incarnation_start_ms = 1;
        std::vector<simulated_run>& runs = m_running[id];
        for (auto it = runs.begin(); it != runs.end();) {
            if (it->m_ends_at <= m_now) {
                report.m_ended.push_back(
                    {++m_last_end[id], it->m_run.m_task, it->m_run.m_run, run_end::done, ""});
                it = runs.erase(it);
            }
            else {
                report.m_running.push_back(it->m_run);
                ++it;
            }
        }
        apply_report(m_shard, id, report, m_now, m_now, to_wall_time(m_now));
    }

    static std::int64_t to_unix_ms(time_point now)
    {
        return std::chrono::duration_cast<milliseconds>(now.time_since_epoch()).count();
    }

    /// Advances the clock by 1 ms, delivers the reports and order answers that are due, and runs a
    /// planning pass if there were any.
    void advance(std::size_t tick)
    {
        m_now += milliseconds(1);
        bool changed = false;
        for (std::size_t i = tick % 20; i < m_listings.size(); i += 20) {
            send_hold(m_listings[i].m_id);
            changed = true;
        }
        while (!m_answers.empty() && m_answers.front().first <= m_now) {
            const worker_order order = m_answers.front().second;
            m_answers.erase(m_answers.begin());
            apply_order_answer(m_shard, order, order_outcome::accepted, m_now, to_wall_time(m_now));
            changed = true;
        }
        if (changed) {
            plan(m_shard, m_now, to_wall_time(m_now));
        }
        for (const worker_order& order : m_shard.m_orders) {
            if (order.m_kind == worker_order::kind::start) {
                m_running[order.m_worker].push_back(
                    {{order.m_task, order.m_run, "", 0, 0}, m_now + task_duration});
            }
            m_answers.emplace_back(m_now + order_answer_delay, order);
        }
        m_shard.m_orders.clear();
        m_shard.m_log_lines.clear();
    }
};

/// Simulates 3 s of a queue. Arguments: number of workers of 64 cores, and the submitted work as a
/// percentage of the pool's capacity.
void play_peak(benchmark::State& bench)
{
    const auto workers = static_cast<std::size_t>(bench.range(0));
    const double load = static_cast<double>(bench.range(1)) / 100.0;
    std::uint64_t starts = 0;
    for (auto _ : bench) {
        bench.PauseTiming();
        simulated_pool pool(workers);
        std::mt19937_64 random(1);
        std::uniform_int_distribution<std::uint32_t> task_count(2, 14);
        const double cores = static_cast<double>(workers) * 64;
        double unsubmitted_work = 0;
        int number = 0;
        bench.ResumeTiming();
        for (std::size_t tick = 0; tick < 3000; ++tick) {
            unsubmitted_work += cores * load;
            while (unsubmitted_work > 0) {
                submission submitted;
                submitted.m_spec = "spec";
                submission_step step;
                step.m_task_count = task_count(random);
                step.m_demand = {6200, 18000, 0};
                step.m_estimate = task_duration;
                submitted.m_steps.push_back(step);
                unsubmitted_work -= step.m_task_count * 6.2 * 800;
                char name[20];
                std::snprintf(name, sizeof name, "%016d", number++);
                admit(pool.m_shard, submission_id(name), queue_id("q"), submitted, pool.m_now,
                      to_wall_time(pool.m_now));
            }
            if (tick % 25 == 0) {
                pool.store_pending_batch();
            }
            pool.advance(tick);
        }
        starts += pool.m_shard.m_starts;
    }
    bench.counters["starts"] =
        benchmark::Counter(static_cast<double>(starts), benchmark::Counter::kIsRate);
}

BENCHMARK(play_peak)
    ->Args({30, 70})
    ->Args({30, 150})
    ->Args({200, 70})
    ->Args({200, 150})
    ->Args({1000, 70})
    ->Args({1000, 150})
    ->Args({5000, 70})
    ->Unit(benchmark::kMillisecond)
    ->Iterations(1);

} // namespace
