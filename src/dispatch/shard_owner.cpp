#include "dispatch/shard_owner.h"

#include <cstdio>

#include "core/result.h"
#include "dispatch/ownership.h"
#include "log/log.h"
#include "platform/advice_calls.h"
#include "platform/store_calls.h"
#include "platform/worker_calls.h"

namespace guavabay {

namespace {

/// Time for a reading of the log, for a write of it, and for an order to a worker.
constexpr milliseconds read_time{2500};
constexpr milliseconds write_time{1500};
constexpr milliseconds order_time{800};

/// Time for a question to the advice service, which answers the calls of one host in turn.
constexpr milliseconds advice_time{3000};

/// Writes of the log follow each other at this distance; what comes meanwhile is written together.
constexpr milliseconds write_interval{25};

/// A write that is not settled for this long makes the owner refuse new submissions.
constexpr milliseconds store_patience{350};

/// After its callers were turned away, the store is tried again with a new submission after this.
constexpr milliseconds store_retry{600};

/// How long a worker's answer to a hold waits for an end: with runs on it, and without.
constexpr milliseconds hold_wait_busy{300};
constexpr milliseconds hold_wait_idle{900};
/// The same while a lasting task comes to work, on which others of its step may wait.
constexpr milliseconds hold_wait_starting{80};
constexpr milliseconds hold_margin{600};

/// Two holds of a worker follow each other at this distance at least.
constexpr milliseconds hold_interval{8};

/// Ends that are not durable yet delay the next hold up to this long, since a worker answers at
/// once while it has ends that were not acknowledged.
constexpr milliseconds ack_patience{150};

/// Plans follow each other at this distance while nothing happens, and at least at the second one
/// while much does: each looks at all that is open.
constexpr milliseconds tick_interval{50};
constexpr milliseconds plan_interval{4};

/// Longest a caller's request waits for its write.
constexpr milliseconds caller_patience{2600};

/// Time that an orderly release may take.
constexpr milliseconds release_time{1200};

constexpr unsigned retry_after_store_s = 2;

/// Of a lasting task that is at work.
constexpr std::int32_t full_percent = 100;

/// How long a worker's answer to a hold may wait for an end.
milliseconds hold_wait(const worker_record& worker)
{
    const bool starting =
        std::any_of(worker.m_runs.begin(), worker.m_runs.end(), [](const auto& entry) {
            return entry.second.m_long_running && entry.second.m_phase != run_phase::stopping &&
                   entry.second.m_percent < full_percent;
        });
    if (starting) {
        return hold_wait_starting;
    }
    return worker.m_runs.empty() ? hold_wait_idle : hold_wait_busy;
}

} // namespace

shard_owner::shard_owner(owner_surroundings surroundings, service_id service, revision token)
    : m_around(std::move(surroundings)), m_log_wake(*m_around.m_context),
      m_tick(*m_around.m_context), m_plan_wake(*m_around.m_context)
{
    m_shard.m_service = std::move(service);
    m_shard.m_token = fencing_token(token.get());
    m_shard.m_bounds = m_around.m_bounds;
    // Runs of a later owner are newer than those of all before it.
    constexpr unsigned run_bits = 20;
    m_shard.m_next_run = token.get() << run_bits;
    m_log_prefix = "l/" + m_shard.m_service.str() + "/";
}

void shard_owner::start(const std::vector<queue_contract>& queues)
{
    guavabay::set_queues(m_shard, queues);
    asio::co_spawn(
        *m_around.m_context, [self = shared_from_this()]() { return self->run(); }, asio::detached);
}

void shard_owner::lose()
{
    if (m_over) {
        return;
    }
    m_over = true;
    m_shard.m_lost = true;
    m_log_wake.cancel();
    m_tick.cancel();
    for (auto& [worker, timer] : m_hold_wakes) {
        timer->cancel();
    }
    for (auto& [id, waiting] : m_waiters) {
        waiting->m_timer->cancel();
    }
}

bool shard_owner::is_proven() const
{
    return read_boot_clock() < m_around.m_proven_until();
}

void shard_owner::follow_proof()
{
    const time_point now = read_boot_clock();
    const bool away = m_around.m_store_away_for_all();
    const bool proven = now < m_around.m_proven_until();
    m_shard.m_may_start = (proven || away) && !m_releasing;
    m_shard.m_may_hold = proven || away ||
                         now < m_around.m_proven_until() + m_shard.m_bounds.m_unproven_renewal_time;
}

void shard_owner::set_queues(const std::vector<queue_contract>& queues)
{
    guavabay::set_queues(m_shard, queues);
}

void shard_owner::set_workers(const std::vector<worker_listing>& listings)
{
    if (m_over || !m_shard.m_loaded) {
        return;
    }
    update_workers(m_shard, listings, read_boot_clock());
    start_worker_loops();
    wake();
}

void shard_owner::start_worker_loops()
{
    for (const auto& [id, worker] : m_shard.m_workers) {
        if (m_followed.insert(id).second) {
            asio::co_spawn(
                *m_around.m_context,
                [self = shared_from_this(), worker_name = id]() {
                    return self->follow_worker(worker_name);
                },
                asio::detached);
        }
    }
}

void shard_owner::wake()
{
    if (m_plan_pending || m_over) {
        return;
    }
    m_plan_pending = true;
    const auto carry_on = [self = shared_from_this()](const error_code& /*error*/ = {}) {
        self->m_plan_pending = false;
        self->run_plan();
    };
    const duration since = read_boot_clock() - m_planned_at;
    if (since >= plan_interval) {
        asio::post(*m_around.m_context, carry_on);
        return;
    }
    m_plan_wake.expires_after(std::chrono::ceil<milliseconds>(plan_interval - since));
    m_plan_wake.async_wait(carry_on);
}

void shard_owner::flush_notes()
{
    for (const std::string& note : m_shard.m_log_lines) {
        log_info("shard: " + note + " service=" + m_shard.m_service.str());
    }
    m_shard.m_log_lines.clear();
}

void shard_owner::run_plan()
{
    if (m_over) {
        return;
    }
    follow_proof();
    m_planned_at = read_boot_clock();
    plan(m_shard, m_planned_at, read_wall_clock());
    std::vector<worker_order> orders;
    orders.swap(m_shard.m_orders);
    for (worker_order& order : orders) {
        asio::co_spawn(
            *m_around.m_context,
            [self = shared_from_this(), what = std::move(order)]() mutable {
                return self->carry_out(std::move(what));
            },
            asio::detached);
    }
    ask_advice();
    flush_notes();
    if (!m_shard.m_pending.m_entries.empty() || !m_shard.m_pending.m_ends.empty()) {
        m_log_wake.cancel();
    }
    if (m_shard.m_lost) {
        log_warning("shard: another owner was seen, giving up service=" + m_shard.m_service.str());
        lose();
    }
}

void shard_owner::ask_advice()
{
    if (!m_around.m_advice_address) {
        return;
    }
    std::optional<advice_request> request = next_advice(m_shard, read_boot_clock());
    if (request) {
        asio::co_spawn(
            *m_around.m_context,
            [self = shared_from_this(), what = std::move(*request)]() mutable {
                return self->ask_advice(std::move(what));
            },
            asio::detached);
    }
}

asio::awaitable<void> shard_owner::ask_advice(advice_request request)
{
    const http_answer answer = co_await m_around.m_workers->call(
        *m_around.m_advice_address, platform::encode_advice(request), advice_time);
    const std::optional<advice_reply> reply = platform::decode_advice(answer);
    if (!reply) {
        log_warning("shard: no advice step=" + to_string(request.m_step) + ": " + last_reason());
    }
    take_advice(m_shard, request, reply, read_boot_clock());
    wake();
}

asio::awaitable<void> shard_owner::carry_out(worker_order order)
{
    const std::optional<ip_address> address = parse_address(order.m_address);
    if (!address || m_over) {
        co_return;
    }
    // After a suspension of this host the order may no longer be its to give.
    if (order.m_kind == worker_order::kind::start && !is_proven() &&
        !m_around.m_store_away_for_all()) {
        apply_order_answer(m_shard, order, order_outcome::not_sent, read_boot_clock(),
                           read_wall_clock());
        co_return;
    }
    ++m_orders_under_way;
    http_call call = platform::encode_order(order, m_shard.m_token);
    const http_answer answer =
        co_await m_around.m_workers->call(*address, std::move(call), order_time);
    --m_orders_under_way;
    if (m_over) {
        co_return;
    }
    apply_order_answer(m_shard, order, platform::decode_order_answer(answer), read_boot_clock(),
                       read_wall_clock());
    wake();
}

asio::awaitable<bool> shard_owner::load()
{
    std::vector<store_item> items;
    std::string after;
    bool more = true;
    while (more) {
        const http_answer answer = co_await m_around.m_store->call(
            platform::encode_range(m_log_prefix, after, false), read_time);
        range_result page = platform::decode_range(answer);
        if (!page.m_ok) {
            co_return false;
        }
        more = page.m_more && !page.m_items.empty();
        for (store_item& item : page.m_items) {
            after = item.m_key;
            items.push_back(std::move(item));
        }
    }
    const time_point now = read_boot_clock();
    const wall_time wall = read_wall_clock();
    for (const store_item& item : items) {
        const std::optional<std::vector<log_entry>> entries = decode_log(item.m_value);
        if (!entries) {
            log_error("shard: " + item.m_key + " cannot be read: " + last_reason());
            continue;
        }
        for (const log_entry& entry : *entries) {
            replay_entry(m_shard, entry, now, wall);
        }
        m_next_log = std::stoull(item.m_key.substr(m_log_prefix.size())) + 1;
    }
    finish_replay(m_shard, now);
    log_info("shard: loaded service=" + m_shard.m_service.str() +
             " records=" + std::to_string(items.size()) +
             " submissions=" + std::to_string(m_shard.m_submissions.size()) +
             " open=" + std::to_string(m_shard.m_open_submissions.size()) +
             " token=" + std::to_string(m_shard.m_token.get()));
    co_return true;
}

asio::awaitable<void> shard_owner::run()
{
    retry_pause pause;
    while (!m_over && !co_await load()) {
        log_warning("shard: reading the log failed: " + last_reason());
        m_tick.expires_after(pause.next());
        error_code ignored;
        co_await m_tick.async_wait(to_coroutine(ignored));
    }
    if (m_over) {
        co_return;
    }
    start_worker_loops();
    asio::co_spawn(
        *m_around.m_context, [self = shared_from_this()]() { return self->write_log(); },
        asio::detached);
    co_await tick();
}

asio::awaitable<void> shard_owner::tick()
{
    while (!m_over) {
        run_plan();
        m_tick.expires_after(tick_interval);
        error_code ignored;
        co_await m_tick.async_wait(to_coroutine(ignored));
    }
}

asio::awaitable<void> shard_owner::write_log()
{
    asio::steady_timer timer(*m_around.m_context);
    error_code ignored;
    while (!m_over) {
        std::optional<log_batch> batch = take_batch(m_shard);
        if (!batch) {
            m_log_wake.expires_at(asio::steady_timer::time_point::max());
            co_await m_log_wake.async_wait(to_coroutine(ignored));
            continue;
        }
        m_writing = true;
        const bool stored = batch->m_entries.empty() || co_await write_batch(*batch);
        m_writing = false;
        if (!stored) {
            lose();
            co_return;
        }
        mark_batch_stored(m_shard, *batch, read_wall_clock());
        const auto wake_waiters = [this](const submission_id& id) {
            const auto [first, last] = m_waiters.equal_range(id);
            for (auto it = first; it != last; ++it) {
                it->second->m_stored = true;
                it->second->m_timer->cancel();
            }
        };
        for (const log_entry& entry : batch->m_entries) {
            if (const auto* accepted = std::get_if<log_accepted>(&entry)) {
                wake_waiters(accepted->m_id);
            }
            else if (const auto* cancelled = std::get_if<log_cancelled>(&entry)) {
                wake_waiters(cancelled->m_id);
            }
        }
        for (const auto& [worker, number] : batch->m_ends) {
            const auto found = m_hold_wakes.find(worker);
            if (found != m_hold_wakes.end()) {
                found->second->cancel();
            }
        }
        wake();
        timer.expires_after(write_interval);
        co_await timer.async_wait(to_coroutine(ignored));
    }
}

void shard_owner::withdraw_from(std::vector<log_entry>& entries)
{
    std::erase_if(entries, [this](const log_entry& entry) {
        const auto* accepted = std::get_if<log_accepted>(&entry);
        if (accepted == nullptr) {
            return false;
        }
        const auto record = m_shard.m_submissions.find(accepted->m_id);
        // A cancellation that follows has to find its submission.
        if (record == m_shard.m_submissions.end() || record->second->m_cancel_requested) {
            return false;
        }
        log_info("shard: submission withdrawn id=" + accepted->m_id.str() +
                 " reason=store away service=" + m_shard.m_service.str());
        const auto [first, last] = m_waiters.equal_range(accepted->m_id);
        for (auto it = first; it != last; ++it) {
            it->second->m_withdrawn = true;
            it->second->m_timer->cancel();
        }
        withdraw(m_shard, accepted->m_id);
        return true;
    });
}

asio::awaitable<bool> shard_owner::write_batch(log_batch& batch)
{
    char number[24];
    std::snprintf(number, sizeof number, "%012llu", static_cast<unsigned long long>(m_next_log));
    const std::string key = m_log_prefix + number;
    store_commit commit;
    commit.m_guards.emplace_back(owner_key(m_shard.m_service), revision(m_shard.m_token.get()));
    commit.m_guards.emplace_back(key, revision());
    commit.m_puts.push_back({key, encode_log(batch.m_entries), lease_id()});
    bool surely_unwritten = true;
    const time_point begun = read_boot_clock();
    retry_pause pause;
    asio::steady_timer timer(*m_around.m_context);
    bool tried_before = false;
    while (!m_over) {
        const http_answer answer =
            co_await m_around.m_store->call(platform::encode_commit(commit), write_time);
        const commit_result result = platform::decode_commit(answer);
        if (result.m_outcome == commit_outcome::done) {
            m_store_fails = false;
            ++m_next_log;
            co_return true;
        }
        if (result.m_outcome == commit_outcome::conflict) {
            // An earlier attempt whose answer was lost may have taken effect.
            for (const store_item& item : result.m_items) {
                if (tried_before && item.m_key == key &&
                    item.m_value == commit.m_puts.front().m_value) {
                    m_store_fails = false;
                    ++m_next_log;
                    co_return true;
                }
            }
            log_warning("shard: the log belongs to another owner service=" +
                        m_shard.m_service.str());
            co_return false;
        }
        if (result.m_outcome == commit_outcome::malformed) {
            log_error("shard: " + last_reason());
            co_return false;
        }
        tried_before = true;
        surely_unwritten = surely_unwritten && result.m_outcome == commit_outcome::refused;
        if (read_boot_clock() - begun > store_patience) {
            if (!m_store_fails) {
                log_warning("shard: a write is not settled service=" + m_shard.m_service.str());
            }
            m_store_fails = true;
            // Callers whose submissions cannot be made durable are told so at once, as far as it
            // is sure that they were not.
            withdraw_from(m_shard.m_pending.m_entries);
            if (surely_unwritten) {
                withdraw_from(batch.m_entries);
                if (batch.m_entries.empty()) {
                    m_store_retry_at = read_boot_clock() + store_retry;
                    co_return true;
                }
                commit.m_puts.front().m_value = encode_log(batch.m_entries);
            }
        }
        timer.expires_after(pause.next());
        error_code ignored;
        co_await timer.async_wait(to_coroutine(ignored));
    }
    co_return false;
}

asio::awaitable<void> shard_owner::follow_worker(worker_id worker)
{
    asio::steady_timer timer(*m_around.m_context);
    m_hold_wakes[worker] = &timer;
    retry_pause pause(milliseconds(60), milliseconds(300));
    error_code ignored;
    while (!m_over) {
        follow_proof();
        const std::optional<hold_request> request =
            next_hold_request(m_shard, worker, read_boot_clock());
        if (!request) {
            break;
        }
        const std::optional<ip_address> address = parse_address(request->m_address);
        if (!address) {
            log_warning("shard: worker " + worker.str() + " has no usable address");
            break;
        }
        const worker_record& before = *m_shard.m_workers.at(worker);
        const milliseconds wait =
            !before.m_answered || !request->m_deadline_ms ? milliseconds(0) : hold_wait(before);
        const time_point sent = read_boot_clock();
        const http_answer answer = co_await m_around.m_workers->call(
            *address, platform::encode_hold(*request, m_shard.m_token, wait), wait + hold_margin);
        if (m_over) {
            break;
        }
        auto [report, outcome] = platform::decode_hold_answer(answer);
        const time_point now = read_boot_clock();
        if (report) {
            pause.reset();
            apply_report(m_shard, worker, *report, sent, now, read_wall_clock());
            wake();
            const auto found = m_shard.m_workers.find(worker);
            const bool unstored = found != m_shard.m_workers.end() &&
                                  found->second->m_seen_end > found->second->m_stored_end;
            timer.expires_after(unstored ? ack_patience : hold_interval);
        }
        else {
            apply_hold_failure(m_shard, worker, outcome, now);
            wake();
            timer.expires_after(pause.next());
        }
        co_await timer.async_wait(to_coroutine(ignored));
    }
    m_hold_wakes.erase(worker);
    m_followed.erase(worker);
}

asio::awaitable<shard_owner::wait_result> shard_owner::wait_until_stored(submission_id id,
                                                                         milliseconds timeout)
{
    asio::steady_timer timer(*m_around.m_context, timeout);
    waiter waiting{&timer, false, false};
    const auto place = m_waiters.emplace(std::move(id), &waiting);
    m_log_wake.cancel();
    error_code ignored;
    co_await timer.async_wait(to_coroutine(ignored));
    m_waiters.erase(place);
    if (waiting.m_withdrawn) {
        co_return wait_result::withdrawn;
    }
    co_return waiting.m_stored ? wait_result::stored : wait_result::unknown;
}

asio::awaitable<owner_reply> shard_owner::submit(queue_id queue, submission_id id, submission what)
{
    owner_reply reply;
    if (m_over || m_releasing || !m_shard.m_loaded || !is_proven()) {
        reply.m_answer = owner_answer::not_owner;
        co_return reply;
    }
    const bool known = m_shard.m_submissions.contains(id);
    if (m_store_fails && !m_writing && read_boot_clock() > m_store_retry_at) {
        // Nothing is left to write that would show whether the store is back.
        m_store_fails = false;
    }
    if (m_store_fails && !known) {
        reply.m_answer = owner_answer::store_away;
        reply.m_retry_after_s = retry_after_store_s;
        co_return reply;
    }
    const admission_result result =
        admit(m_shard, id, queue, std::move(what), read_boot_clock(), read_wall_clock());
    if (result.m_answer == admission::refused) {
        reply.m_answer = owner_answer::refused;
        reply.m_retry_after_s = static_cast<std::uint32_t>(result.m_retry_after.count());
        log_info("shard: submission refused id=" + id.str() + " queue=" + queue.str() +
                 " open=" + std::to_string(m_shard.m_open_submissions.size()) +
                 " retry_after_s=" + std::to_string(reply.m_retry_after_s));
        co_return reply;
    }
    if (result.m_answer == admission::already_stored) {
        reply.m_answer = owner_answer::done;
        co_return reply;
    }
    const time_point begun = read_boot_clock();
    const wait_result result_of_wait = co_await wait_until_stored(id, caller_patience);
    if (result_of_wait == wait_result::withdrawn) {
        reply.m_answer = owner_answer::store_away;
        reply.m_retry_after_s = retry_after_store_s;
        co_return reply;
    }
    const bool stored = result_of_wait == wait_result::stored;
    reply.m_answer = stored ? owner_answer::done : owner_answer::unknown;
    log_info("shard: submission accepted id=" + id.str() + " queue=" + queue.str() +
             " open=" + std::to_string(m_shard.m_open_submissions.size()) +
             " stored=" + (stored ? "yes" : "unknown") + " after_ms=" +
             std::to_string(static_cast<int>(to_milliseconds(read_boot_clock() - begun))));
    wake();
    co_return reply;
}

asio::awaitable<owner_reply> shard_owner::cancel(submission_id id)
{
    owner_reply reply;
    if (m_over || m_releasing || !m_shard.m_loaded || !is_proven()) {
        reply.m_answer = owner_answer::not_owner;
        co_return reply;
    }
    if (!guavabay::cancel(m_shard, id)) {
        reply.m_answer = owner_answer::none;
        co_return reply;
    }
    const auto found = m_shard.m_submissions.find(id);
    if (found->second->m_final_decided && found->second->m_visible == found->second->m_final) {
        reply.m_answer = owner_answer::done;
        co_return reply;
    }
    const bool stored = co_await wait_until_stored(id, caller_patience) == wait_result::stored;
    reply.m_answer = stored ? owner_answer::done : owner_answer::unknown;
    wake();
    co_return reply;
}

owner_reply shard_owner::state(const submission_id& id) const
{
    owner_reply reply;
    if (m_over || !m_shard.m_loaded || !(is_proven() || m_around.m_store_away_for_all())) {
        reply.m_answer = owner_answer::not_owner;
        return reply;
    }
    const std::optional<submission_state> state = state_of(m_shard, id);
    if (state) {
        reply.m_answer = owner_answer::done;
        reply.m_state = *state;
    }
    else if (m_shard.m_submissions.contains(id)) {
        reply.m_answer = owner_answer::not_owner;
    }
    else {
        reply.m_answer = owner_answer::none;
    }
    return reply;
}

owner_reply shard_owner::count(const queue_id& queue) const
{
    owner_reply reply;
    if (m_over || !m_shard.m_loaded || !(is_proven() || m_around.m_store_away_for_all())) {
        reply.m_answer = owner_answer::not_owner;
        return reply;
    }
    reply.m_answer = owner_answer::done;
    reply.m_count = pending_count(m_shard, queue);
    return reply;
}

cordon_reply shard_owner::cordon(const cordon_request& request)
{
    cordon_reply reply;
    if (m_over || !m_shard.m_loaded) {
        return reply;
    }
    reply.m_owner = true;
    pool_instructions what;
    const auto to_id = [](const std::string& name) { return machine_id(name); };
    std::transform(request.m_machines.begin(), request.m_machines.end(),
                   std::back_inserter(what.m_cordoned), to_id);
    std::transform(request.m_upkeep_due.begin(), request.m_upkeep_due.end(),
                   std::back_inserter(what.m_upkeep_due), to_id);
    what.m_urgent = request.m_urgent;
    what.m_incoming_machines = request.m_coming;
    const time_point now = read_boot_clock();
    apply_instructions(m_shard, what, now);
    for (const machine_id& machine : what.m_cordoned) {
        if (is_clear(m_shard, machine)) {
            reply.m_clear.push_back(machine.str());
        }
    }
    reply.m_needed = machines_needed(m_shard, now);
    for (const auto& [id, worker] : m_shard.m_workers) {
        if (!worker->m_listed || worker->m_info.m_machine.empty()) {
            continue;
        }
        const bool lasting =
            std::any_of(worker->m_runs.begin(), worker->m_runs.end(),
                        [](const auto& entry) { return entry.second.m_long_running; });
        reply.m_machines.push_back({worker->m_info.m_machine.str(),
                                    static_cast<std::uint32_t>(worker->m_runs.size()), lasting});
    }
    wake();
    return reply;
}

asio::awaitable<void> shard_owner::release()
{
    if (m_over) {
        co_return;
    }
    m_releasing = true;
    m_shard.m_may_start = false;
    asio::steady_timer timer(*m_around.m_context);
    error_code ignored;
    const time_point begun = read_boot_clock();
    const auto busy = [this] {
        return m_orders_under_way > 0 || m_writing || !m_shard.m_pending.m_entries.empty();
    };
    constexpr milliseconds poll{5};
    while (!m_over && busy() && read_boot_clock() - begun < release_time) {
        timer.expires_after(poll);
        co_await timer.async_wait(to_coroutine(ignored));
    }
    if (m_over || !m_shard.m_loaded) {
        co_return;
    }
    char number[24];
    std::snprintf(number, sizeof number, "%012llu", static_cast<unsigned long long>(m_next_log));
    const std::string key = m_log_prefix + number;
    store_commit commit;
    const std::string record = owner_key(m_shard.m_service);
    commit.m_guards.emplace_back(record, revision(m_shard.m_token.get()));
    commit.m_guards.emplace_back(key, revision());
    commit.m_puts.push_back({key, encode_log({make_release_entry(m_shard)}), lease_id()});
    commit.m_removes.push_back(record);
    const http_answer answer =
        co_await m_around.m_store->call(platform::encode_commit(commit), write_time);
    const commit_result result = platform::decode_commit(answer);
    log_info("owner: shard released service=" + m_shard.m_service.str() +
             " outcome=" + std::to_string(static_cast<int>(result.m_outcome)));
    lose();
}

} // namespace guavabay
