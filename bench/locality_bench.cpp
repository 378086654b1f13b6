// Compares rules for waits for a place in the virtual pool: the same submissions, run times and
// faults for each rule. Prints one line per case and a summary as tables.

#include <algorithm>
#include <array>
#include <atomic>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <numbers>
#include <thread>

#include "support/virtual_pool.h"

using namespace guavabay;

namespace {

constexpr resources worker_size{8000, 32768, 0};
constexpr std::int64_t task_cpu = 2000; ///< Thousandths of a core.
constexpr std::size_t rack_count = 3;
constexpr milliseconds load_time{5000};
constexpr milliseconds drain_time{5000};
constexpr milliseconds sample_interval{10};
constexpr milliseconds delay_scheduling_wait{400};
constexpr milliseconds rack_lost_at{1500};
constexpr milliseconds rack_back_at{3500};
constexpr unsigned thread_count = 3;

/// Spread of run times over their declared estimates, per submission and per task.
constexpr double submission_sigma = 0.4;
constexpr double task_sigma = 0.2;
/// Share of tasks that take longer by a factor.
constexpr double tail_share = 0.03;
constexpr double tail_factor = 7;
/// Mean of all that over the estimate, for the offered load.
const double mean_factor =
    std::exp((submission_sigma * submission_sigma + task_sigma * task_sigma) / 2) *
    (1 + tail_share * (tail_factor - 1));

enum class demand_pattern { even, one_wanted, rack_lost };
constexpr std::array all_patterns{demand_pattern::even, demand_pattern::one_wanted,
                                  demand_pattern::rack_lost};

struct rule_case {
    const char* m_name;
    wait_rule m_rule;
    bool m_knows_durations = false;
    double m_progress_power = 1;
};

const std::vector<rule_case> rules{
    {"no wait", wait_rule::none},
    {"fixed 400 ms", wait_rule::fixed_time},
    {"fixed multiple", wait_rule::fixed_multiple},
    {"decision", wait_rule::expected_gain},
    {"decision, skewed progress", wait_rule::expected_gain, false, 2},
    {"durations known", wait_rule::expected_gain, true},
};

struct bench_case {
    demand_pattern m_pattern;
    std::size_t m_rack_size;
    double m_load;
    double m_factor;
    std::uint64_t m_seed;
    std::size_t m_rule;
};

struct case_result {
    int m_offered = 0;
    int m_on_time = 0;
    double m_remote_share = 0;
    double m_idle_core_seconds = 0;
    double m_wait_p95_ms = 0;
    double m_paid = 0;
    double m_unpaid = 0;
    std::size_t m_violations = 0;
};

/// A number in [0, 1) that depends only on the arguments (splitmix64 over FNV-1a).
double hash_uniform(std::uint64_t seed, const std::string& text, std::uint64_t salt)
{
    std::uint64_t value = 1469598103934665603ULL ^ (seed * 0x9E3779B97F4A7C15ULL) ^ salt;
    for (const char c : text) {
        value = (value ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
    }
    value += 0x9E3779B97F4A7C15ULL;
    value = (value ^ (value >> 30)) * 0xBF58476D1CE4E5B9ULL;
    value = (value ^ (value >> 27)) * 0x94D049BB133111EBULL;
    value ^= value >> 31;
    return static_cast<double>(value >> 11) / 9007199254740992.0;
}

double hash_normal(std::uint64_t seed, const std::string& text, std::uint64_t salt)
{
    const double radius = std::sqrt(-2 * std::log(1 - hash_uniform(seed, text, salt)));
    return radius * std::cos(2 * std::numbers::pi * hash_uniform(seed, text, salt + 1));
}

/// Run time of a task over its estimate.
double duration_factor(std::uint64_t seed, const task_name& task)
{
    const std::string text = to_string(task);
    const double tail = hash_uniform(seed, text, 30) < tail_share ? tail_factor : 1;
    return tail * std::exp(submission_sigma * hash_normal(seed, task.m_submission.str(), 10) +
                           task_sigma * hash_normal(seed, text, 20));
}

/// A submission of the case's mix: one step of 1 to 4 tasks, one in ten a gang that needs one rack.
submission make_work(const bench_case& what, std::mt19937_64& random)
{
    std::uniform_real_distribution<double> chance(0, 1);
    const auto tasks = static_cast<std::uint32_t>(1 + 4 * chance(random));
    const milliseconds estimate(static_cast<std::int64_t>(300 + 900 * chance(random)));
    submission work = make_submission({tasks}, {task_cpu, 1000, 0}, estimate);
    const double kind = chance(random);
    const double rack = chance(random);
    if (kind < 0.1) {
        work.m_steps[0].m_gang = true;
        work.m_steps[0].m_same_rack = true;
        return work;
    }
    if (what.m_pattern == demand_pattern::one_wanted) {
        if (kind < 0.7) {
            work.m_steps[0].m_data_rack = "r0";
        }
        else if (kind < 0.9) {
            work.m_steps[0].m_data_rack = rack < 0.5 ? "r1" : "r2";
        }
        return work;
    }
    if (kind < 0.9) {
        work.m_steps[0].m_data_rack = "r" + std::to_string(static_cast<int>(rack * rack_count));
    }
    return work;
}

/// Crashes the workers of the first rack, or starts them again.
void change_first_rack(virtual_pool& pool, const bench_case& what, bool crash)
{
    for (std::size_t i = 0; i < what.m_rack_size; ++i) {
        if (crash) {
            pool.crash_worker(i);
        }
        else {
            pool.restart_worker(i, milliseconds(100));
        }
    }
}

/// Follows the submissions of a run.
struct observer {
    struct handed_in {
        time_point m_at{};
        time_point m_objective{};
        bool m_names_place = false;
        bool m_done = false;
    };
    std::map<std::string, handed_in> m_open;
    std::set<task_name> m_started;
    std::vector<double> m_waits_ms;

    void look(virtual_pool& pool, case_result& result)
    {
        std::int64_t free_cpu = 0;
        for (const virtual_worker& worker : pool.m_workers) {
            free_cpu += worker.m_up ? worker.m_listing.m_capacity.m_cpu_millis -
                                          task_cpu * static_cast<std::int64_t>(worker.m_runs.size())
                                    : 0;
            for (const auto& [key, run] : worker.m_runs) {
                const auto found = m_open.find(key.first.m_submission.str());
                if (found != m_open.end() && found->second.m_names_place &&
                    m_started.insert(key.first).second) {
                    m_waits_ms.push_back(to_milliseconds(run.m_started - found->second.m_at));
                }
            }
        }
        std::int64_t declined_cpu = 0;
        for (const auto& [name, wait] : pool.current_owner().m_shard.m_locality.m_waits) {
            declined_cpu += wait.m_cpu_millis;
        }
        result.m_idle_core_seconds += static_cast<double>(std::min(free_cpu, declined_cpu)) / 1000 *
                                      to_milliseconds(sample_interval) / 1000;
        for (auto it = m_open.begin(); it != m_open.end();) {
            const std::optional<submission_state> state = pool.state(it->first);
            if (!state || !is_final(*state)) {
                ++it;
                continue;
            }
            result.m_on_time +=
                *state == submission_state::succeeded && pool.now() <= it->second.m_objective ? 1
                                                                                              : 0;
            it = m_open.erase(it);
        }
    }
};

case_result run_case(const bench_case& what)
{
    virtual_pool pool(what.m_rack_size * rack_count, worker_size, what.m_seed);
    for (std::size_t i = 0; i < pool.m_workers.size(); ++i) {
        worker_listing& listing = pool.m_workers[i].m_listing;
        listing.m_rack = rack_id("r" + std::to_string(i / what.m_rack_size));
        listing.m_labels = {"a", listing.m_rack.str()};
    }
    const rule_case& rule = rules[what.m_rule];
    pool.set_remote_factor(what.m_factor);
    pool.m_progress_power = rule.m_progress_power;
    pool.m_duration_factor = [&](const task_name& task) {
        return duration_factor(what.m_seed, task);
    };
    locality_state& known = pool.current_owner().m_shard.m_locality;
    known.m_rule = rule.m_rule;
    known.m_fixed_wait = delay_scheduling_wait;
    if (rule.m_knows_durations) {
        known.m_known_remaining = [&pool](const task_name& task, time_point) {
            return pool.true_remaining(task);
        };
    }
    pool.run_for(milliseconds(200));
    std::mt19937_64 random(what.m_seed);
    const double cores = static_cast<double>(pool.m_workers.size()) *
                         static_cast<double>(worker_size.m_cpu_millis) / 1000;
    const time_point begin = pool.now();
    const time_point stop = begin + load_time;
    double owed_core_ms = 0;
    case_result result;
    observer seen;
    bool is_lost = false;
    bool is_back = false;
    while (pool.now() < stop + drain_time && (pool.now() < stop || !seen.m_open.empty())) {
        for (; owed_core_ms > 0 && pool.now() < stop;) {
            const std::string id = "a" + std::to_string(result.m_offered++);
            const submission work = make_work(what, random);
            const submission_step& step = work.m_steps[0];
            owed_core_ms -= total_core_ms(work) * mean_factor;
            const milliseconds span(static_cast<std::int64_t>(
                pool.m_contract.m_stretch_factor * static_cast<double>(step.m_estimate.count())));
            if (pool.submit(id, work).m_answer == admission::accepted) {
                seen.m_open[id] = {pool.now(), pool.now() + span + pool.m_contract.m_target,
                                   !step.m_data_rack.empty() || step.m_same_rack};
            }
        }
        owed_core_ms += what.m_load * cores * to_milliseconds(sample_interval);
        if (what.m_pattern == demand_pattern::rack_lost) {
            if (!is_lost && pool.now() - begin >= rack_lost_at) {
                is_lost = true;
                change_first_rack(pool, what, true);
            }
            if (!is_back && pool.now() - begin >= rack_back_at) {
                is_back = true;
                change_first_rack(pool, what, false);
            }
        }
        pool.run_for(sample_interval);
        seen.look(pool, result);
    }
    const locality_counts& counts = known.m_counts;
    const auto near = static_cast<double>(counts.m_starts_at_place);
    const auto far = static_cast<double>(counts.m_starts_elsewhere);
    result.m_remote_share = near + far > 0 ? far / (near + far) : 0;
    result.m_paid = static_cast<double>(counts.m_waits_paid);
    result.m_unpaid = static_cast<double>(counts.m_waits_unpaid);
    std::sort(seen.m_waits_ms.begin(), seen.m_waits_ms.end());
    if (!seen.m_waits_ms.empty()) {
        result.m_wait_p95_ms = seen.m_waits_ms[seen.m_waits_ms.size() * 95 / 100];
    }
    result.m_violations = pool.violations().size();
    return result;
}

const char* name_of(demand_pattern pattern)
{
    switch (pattern) {
    case demand_pattern::even:
        return "even";
    case demand_pattern::one_wanted:
        return "one wanted";
    case demand_pattern::rack_lost:
        return "rack lost";
    }
    return "";
}

/// All cases, the rules of one setting one after the other.
std::vector<bench_case> make_cases(const std::vector<std::uint64_t>& seeds,
                                   const std::vector<std::size_t>& rack_sizes,
                                   const std::vector<demand_pattern>& patterns)
{
    std::vector<bench_case> cases;
    for (const demand_pattern pattern : patterns) {
        for (const std::size_t rack_size : rack_sizes) {
            for (const double load : {0.5, 0.9, 1.3}) {
                for (const double factor : {1.5, 2.0, 3.0}) {
                    for (const std::uint64_t seed : seeds) {
                        for (std::size_t rule = 0; rule < rules.size(); ++rule) {
                            cases.push_back({pattern, rack_size, load, factor, seed, rule});
                        }
                    }
                }
            }
        }
    }
    return cases;
}

/// Sums over the cases that a row of a table covers, per rule.
struct row_sums {
    std::vector<double> m_on_time = std::vector<double>(rules.size());
    std::vector<double> m_remote = std::vector<double>(rules.size());
    std::vector<double> m_idle = std::vector<double>(rules.size());
    std::vector<double> m_wait = std::vector<double>(rules.size());
    std::vector<int> m_count = std::vector<int>(rules.size());
};

void print_table(const char* title, const std::vector<std::pair<std::string, row_sums>>& rows,
                 std::vector<double> row_sums::*values, const char* format)
{
    std::printf("\n%s\n\n| setting |", title);
    for (const rule_case& rule : rules) {
        std::printf(" %s |", rule.m_name);
    }
    std::printf("\n| --- |");
    for (std::size_t i = 0; i < rules.size(); ++i) {
        std::printf(" --- |");
    }
    for (const auto& [name, sums] : rows) {
        std::printf("\n| %s |", name.c_str());
        for (std::size_t i = 0; i < rules.size(); ++i) {
            std::printf(format, (sums.*values)[i] / std::max(1, sums.m_count[i]));
            std::printf(" |");
        }
    }
    std::printf("\n");
}

void add_to(row_sums& row, const bench_case& what, const case_result& result)
{
    row.m_on_time[what.m_rule] += static_cast<double>(result.m_on_time) / result.m_offered;
    row.m_remote[what.m_rule] += result.m_remote_share;
    row.m_idle[what.m_rule] += result.m_idle_core_seconds;
    row.m_wait[what.m_rule] += result.m_wait_p95_ms;
    ++row.m_count[what.m_rule];
}

} // namespace

/// Arguments: number of seeds (3), then sizes of racks (4 12 20) and names of patterns (all).
int main(int argc, char** argv)
{
    std::vector<std::uint64_t> seeds;
    for (std::uint64_t i = 1; i <= (argc > 1 ? std::strtoul(argv[1], nullptr, 10) : 3); ++i) {
        seeds.push_back(i);
    }
    std::vector<std::size_t> rack_sizes;
    std::vector<demand_pattern> patterns;
    for (int i = 2; i < argc; ++i) {
        bool is_pattern = false;
        for (const demand_pattern pattern : all_patterns) {
            if (std::string(argv[i]) == name_of(pattern)) {
                patterns.push_back(pattern);
                is_pattern = true;
            }
        }
        if (!is_pattern) {
            rack_sizes.push_back(std::strtoul(argv[i], nullptr, 10));
        }
    }
    if (patterns.empty()) {
        patterns.assign(all_patterns.begin(), all_patterns.end());
    }
    if (rack_sizes.empty()) {
        rack_sizes = {4, 12, 20};
    }
    const std::vector<bench_case> cases = make_cases(seeds, rack_sizes, patterns);
    std::vector<case_result> results(cases.size());
    std::atomic<std::size_t> next{0};
    std::vector<std::jthread> threads;
    for (unsigned i = 0; i < thread_count; ++i) {
        threads.emplace_back([&] {
            for (std::size_t at = next++; at < cases.size(); at = next++) {
                results[at] = run_case(cases[at]);
            }
        });
    }
    threads.clear();

    std::printf("pattern,rack,load,factor,seed,rule,offered,on_time,remote,idle_core_s,wait_p95_ms,"
                "paid,unpaid,violations\n");
    std::vector<std::pair<std::string, row_sums>> rows{{"all", {}}};
    const auto row = [&](const std::string& name) -> row_sums& {
        const auto found = std::find_if(rows.begin(), rows.end(),
                                        [&](const auto& entry) { return entry.first == name; });
        return found != rows.end() ? found->second : rows.emplace_back(name, row_sums{}).second;
    };
    char text[100];
    for (std::size_t i = 0; i < cases.size(); ++i) {
        const bench_case& what = cases[i];
        const case_result& result = results[i];
        std::printf("%s,%zu,%.1f,%.1f,%lu,%s,%d,%d,%.3f,%.2f,%.0f,%.0f,%.0f,%zu\n",
                    name_of(what.m_pattern), what.m_rack_size, what.m_load, what.m_factor,
                    static_cast<unsigned long>(what.m_seed), rules[what.m_rule].m_name,
                    result.m_offered, result.m_on_time, result.m_remote_share,
                    result.m_idle_core_seconds, result.m_wait_p95_ms, result.m_paid,
                    result.m_unpaid, result.m_violations);
        add_to(row("all"), what, result);
        add_to(row(name_of(what.m_pattern)), what, result);
        std::snprintf(text, sizeof text, "racks of %zu", what.m_rack_size);
        add_to(row(text), what, result);
        std::snprintf(text, sizeof text, "load %.1f", what.m_load);
        add_to(row(text), what, result);
        std::snprintf(text, sizeof text, "factor %.1f", what.m_factor);
        add_to(row(text), what, result);
        std::snprintf(text, sizeof text, "%s, load %.1f, factor %.1f", name_of(what.m_pattern),
                      what.m_load, what.m_factor);
        add_to(row(text), what, result);
    }
    print_table("Share on time", rows, &row_sums::m_on_time, " %.3f");
    print_table("Share of starts away from the place", rows, &row_sums::m_remote, " %.2f");
    print_table("Idle core-seconds while tasks wait", rows, &row_sums::m_idle, " %.1f");
    print_table("95th percentile of the wait of tasks with a place, ms", rows, &row_sums::m_wait,
                " %.0f");
    return 0;
}
