#include "replay/task_replay.h"

#include <algorithm>
#include <random>

#include "core/json_fields.h"
#include "core/result.h"
#include "fleet/task_board.h"
#include "replay/event_queue.h"

namespace guavabay {

namespace {

constexpr milliseconds placement_interval{100};

/// The tasks of a trace, the workers that run them, and what is measured.
class task_run {
public:
    /// Takes one event of the trace; false with a reason when it makes no sense.
    bool take(const trace_event& event)
    {
        const boost::json::object& fields = event.m_fields;
        if (event.m_kind == "tasks") {
            m_random.seed(static_cast<std::uint64_t>(number_field(fields, "seed")));
            m_start_delay = milliseconds(number_field(fields, "start_ms"));
            m_save_delay = milliseconds(number_field(fields, "checkpoint_ms"));
        }
        else if (event.m_kind == "workers") {
            add_workers(fields);
        }
        else if (event.m_kind == "quota") {
            task_grant& grant = m_board.m_quotas[customer_id(text_field(fields, "customer"))];
            grant.m_running = static_cast<std::uint32_t>(number_field(fields, "running"));
            grant.m_cpu_millis = static_cast<std::uint64_t>(number_field(fields, "cpu_millis"));
            grant.m_memory_mb = static_cast<std::uint64_t>(number_field(fields, "memory_mb"));
        }
        else if (event.m_kind == "submit") {
            submit(fields);
        }
        else if (event.m_kind == "bad_worker") {
            m_bad_workers.insert(worker_id(text_field(fields, "name")));
        }
        else if (event.m_kind == "cancel") {
            cancel(fields);
        }
        else if (event.m_kind != "end") {
            last_reason() = "unknown event " + event.m_kind;
            return false;
        }
        return true;
    }

    /// Lets time pass until a moment.
    void run_until(time_point until)
    {
        while (m_next_placement <= until) {
            while (m_events.step(m_next_placement)) {
            }
            m_now = m_next_placement;
            m_next_placement += placement_interval;
            std::vector<task_order> orders;
            place_tasks(m_board, m_now, orders);
            carry_out(orders);
            m_board.m_changed_tasks.clear();
            check_quotas();
        }
        while (m_events.step(until)) {
        }
        m_now = std::max(m_now, until);
    }

    /// What was measured.
    [[nodiscard]] measures result()
    {
        measures measured;
        std::sort(m_urgent_waits.begin(), m_urgent_waits.end());
        measured["urgent_started"] = static_cast<double>(m_urgent_waits.size());
        measured["urgent_max_ms"] = m_urgent_waits.empty() ? 0 : m_urgent_waits.back();
        measured["urgent_p99_ms"] =
            m_urgent_waits.empty() ? 0 : m_urgent_waits[m_urgent_waits.size() * 99 / 100];
        double open = 0;
        for (const auto& [id, one] : m_board.m_tasks) {
            measured[std::string("state_") + word(one.m_state)] += 1;
            const bool late = one.m_urgent && one.m_state == task_state::waiting;
            open += late ? 1 : 0;
        }
        measured["urgent_waiting"] = open;
        measured["double_runs"] = m_double_runs;
        measured["started_after_cancel"] = m_started_after_cancel;
        measured["quota_broken"] = m_quota_broken;
        measured["failures"] = m_failures;
        measured["orders"] = m_orders;
        return measured;
    }

private:
    static const char* word(task_state state)
    {
        switch (state) {
        case task_state::done:
            return "done";
        case task_state::cancelled:
            return "cancelled";
        case task_state::refused:
            return "refused";
        default:
            return "open";
        }
    }

    void add_workers(const boost::json::object& fields)
    {
        const resources capacity{number_field(fields, "cpu_millis"),
                                 number_field(fields, "memory_mb"), 0};
        for (std::int64_t i = 0; i < number_field(fields, "count"); ++i) {
            add_or_update_worker(m_board,
                                 worker_id(text_field(fields, "pool") + "-" + std::to_string(i)),
                                 pool_id(text_field(fields, "pool")), capacity, true);
        }
    }

    void submit(const boost::json::object& fields)
    {
        const std::int64_t count = std::max<std::int64_t>(1, number_field(fields, "count"));
        for (std::int64_t i = 0; i < count; ++i) {
            task wanted;
            wanted.m_id = task_id("t" + std::to_string(m_next_task++));
            wanted.m_customer = customer_id(text_field(fields, "customer"));
            wanted.m_kind = text_field(fields, "kind");
            wanted.m_pool = pool_id(text_field(fields, "pool"));
            wanted.m_declared = {number_field(fields, "cpu_millis"),
                                 number_field(fields, "memory_mb"), 0};
            wanted.m_urgent = flag_field(fields, "urgent");
            m_runs[wanted.m_id].m_length = milliseconds(number_field(fields, "run_ms"));
            m_runs[wanted.m_id].m_used_share = real_field(fields, "used_share", 1);
            m_runs[wanted.m_id].m_bad = flag_field(fields, "bad");
            submit_task(m_board, wanted, m_now);
        }
    }

    void cancel(const boost::json::object& fields)
    {
        const customer_id customer(text_field(fields, "customer"));
        std::vector<task_id> ids;
        for (const auto& [id, one] : m_board.m_tasks) {
            if (one.m_customer == customer) {
                ids.push_back(id);
            }
        }
        std::sort(ids.begin(), ids.end());
        std::vector<task_order> orders;
        for (const task_id& id : ids) {
            cancel_task(m_board, id, orders);
        }
        carry_out(orders);
    }

    void carry_out(const std::vector<task_order>& orders)
    {
        for (const task_order& order : orders) {
            m_orders += 1;
            if (order.m_verb == task_order::verb::start) {
                m_events.at(m_now + m_start_delay, [this, order] { started(order); });
            }
            else if (order.m_verb == task_order::verb::checkpoint) {
                m_events.at(m_now + m_save_delay, [this, order] {
                    m_runs[order.m_task].m_running = false;
                    on_task_checkpointed(m_board, order.m_task, order.m_attempt);
                });
            }
            else {
                m_runs[order.m_task].m_running = false;
            }
        }
    }

    void started(const task_order& order)
    {
        const task& one = m_board.m_tasks.at(order.m_task);
        run_state& run = m_runs[order.m_task];
        std::vector<task_order> orders;
        const bool wanted = one.m_attempt == order.m_attempt && one.m_state == task_state::starting;
        on_task_started(m_board, order.m_task, order.m_attempt, orders);
        if (!wanted) {
            m_started_after_cancel += one.m_state == task_state::running ? 1 : 0;
            return;
        }
        m_double_runs += run.m_running ? 1 : 0;
        run.m_running = true;
        if (one.m_urgent) {
            m_urgent_waits.push_back(to_milliseconds(m_events.now() - one.m_submitted_at));
        }
        const bool fails = run.m_bad || m_bad_workers.contains(one.m_worker);
        const duration length = fails ? duration(run.m_length / 4) : run.m_length;
        m_events.at(m_events.now() + length, [this, order, fails] { ended(order, fails); });
    }

    void ended(const task_order& order, bool fails)
    {
        const task& one = m_board.m_tasks.at(order.m_task);
        if (one.m_attempt != order.m_attempt || one.m_state != task_state::running) {
            return;
        }
        run_state& run = m_runs[order.m_task];
        run.m_running = false;
        if (fails) {
            m_failures += 1;
            on_task_failed(m_board, order.m_task, order.m_attempt, m_events.now());
            return;
        }
        const auto share = [&run](std::int64_t amount) {
            return static_cast<std::int64_t>(static_cast<double>(amount) * run.m_used_share);
        };
        const resources used{share(one.m_declared.m_cpu_millis), share(one.m_declared.m_memory_mb),
                             0};
        on_task_done(m_board, order.m_task, order.m_attempt, used, m_events.now());
    }

    void check_quotas()
    {
        for (const auto& [customer, use] : m_board.m_quota_usage) {
            m_quota_broken += use.m_running > m_board.m_quotas[customer].m_running ? 1 : 0;
        }
    }

    struct run_state {
        duration m_length{};
        double m_used_share = 1;
        bool m_bad = false;
        bool m_running = false;
    };

    task_board m_board;
    event_queue m_events;
    std::map<task_id, run_state> m_runs;
    std::set<worker_id> m_bad_workers;
    std::vector<double> m_urgent_waits;
    std::mt19937_64 m_random;
    time_point m_now{};
    time_point m_next_placement{};
    duration m_start_delay{};
    duration m_save_delay{};
    std::uint64_t m_next_task = 1;
    double m_double_runs = 0;
    double m_started_after_cancel = 0;
    double m_quota_broken = 0;
    double m_failures = 0;
    double m_orders = 0;
};

} // namespace

std::optional<measures> replay_tasks(const trace& recorded)
{
    task_run run;
    for (const trace_event& event : recorded.m_events) {
        run.run_until(event.m_at);
        if (!run.take(event)) {
            return std::nullopt;
        }
    }
    return run.result();
}

} // namespace guavabay
