#include "dispatch/shard_owner.h"

#include <charconv>
#include <cstdio>

#include "core/result.h"
#include "dispatch/ownership.h"
#include "log/log.h"
#include "net/spawn.h"
#include "platform/advice_calls.h"
#include "platform/store_calls.h"
#include "schedule/quota_holder.h"

namespace guavabay {

namespace {

/// Time limits of a read of the log and of a write to it.
constexpr milliseconds read_timeout{2500};
constexpr milliseconds write_timeout{1500};

/// Time limit of a call to the advice service, which serves the calls of one host one at a time.
constexpr milliseconds advice_timeout{3000};

/// Interval of readings of the log for submissions that wait for memory.
constexpr milliseconds deferred_interval{1000};

/// Pause between two writes of the log; entries that arrive meanwhile form one batch.
constexpr milliseconds write_interval{25};

/// New submissions are refused once the outcome of a write has been open for this long.
constexpr milliseconds store_write_grace{350};

/// Delay after a withdrawn batch before a new submission is accepted to probe the store.
constexpr milliseconds store_retry_delay{600};

/// Longest time that a worker may delay its answer to a hold until a run ends, for workers with
/// runs and without.
constexpr milliseconds hold_wait_with_runs{300};
constexpr milliseconds hold_wait_idle{900};
/// The same while a long-running task starts up, because other tasks of its step may wait for it.
constexpr milliseconds hold_wait_starting{80};

/// An owner of more workers calls them through other hosts.
constexpr std::size_t max_direct_workers = 100;

/// Shortest pause between two holds of a worker.
constexpr milliseconds hold_interval{8};

/// Longest delay of the next hold while reported ends of runs are not durable: a worker answers at
/// once while it has unacknowledged ends, so that an earlier hold would return without waiting.
constexpr milliseconds ack_hold_delay{150};

/// Interval of planning rounds without events, and the shortest interval with many events.
constexpr milliseconds idle_plan_interval{50};
constexpr milliseconds min_plan_interval{4};

/// The pause after a round is at least this multiple of the time that the round took, which leaves
/// the rest of the processor to calls.
constexpr int plan_pause_factor = 3;

/// Longest time that a call waits for its log entry to become durable.
constexpr milliseconds caller_timeout{2600};

/// Longest time that a release waits for open orders and writes.
constexpr milliseconds release_timeout{1200};

/// Percent reported by a long-running task that has started up.
constexpr std::int32_t full_percent = 100;

/// Table of a host that knows of no other shards.
const holder_table no_holders;

/// Number of a log record, given its key without the prefix; empty if it is malformed.
std::optional<std::uint64_t> parse_log_number(std::string_view text)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

/// Makes the timer of a hold loop known for as long as the loop runs.
class hold_timer_registration {
public:
    hold_timer_registration(std::map<worker_id, asio::steady_timer*>& timers, worker_id worker,
                            asio::steady_timer& timer)
        : m_timers(timers), m_worker(std::move(worker))
    {
        m_timers[m_worker] = &timer;
    }

    ~hold_timer_registration() { m_timers.erase(m_worker); }

    hold_timer_registration(const hold_timer_registration&) = delete;
    hold_timer_registration& operator=(const hold_timer_registration&) = delete;

private:
    std::map<worker_id, asio::steady_timer*>& m_timers;
    worker_id m_worker;
};

/// Returns how long a worker may delay its answer to a hold until a run ends.
milliseconds hold_wait(const worker_record& worker)
{
    if (!worker.m_guard.m_complete) {
        return worker.m_guard.m_token_pending ? hold_wait_starting : milliseconds(0);
    }
    const bool starting =
        std::any_of(worker.m_runs.begin(), worker.m_runs.end(), [](const auto& entry) {
            return entry.second.m_long_running && entry.second.m_phase != run_phase::stopping &&
                   entry.second.m_percent < full_percent;
        });
    if (starting) {
        return hold_wait_starting;
    }
    return worker.m_runs.empty() ? hold_wait_idle : hold_wait_with_runs;
}

} // namespace

shard_owner::shard_owner(shard_owner_dependencies dependencies, service_id service, revision token)
    : m_dependencies(std::move(dependencies)),
      m_holders(*m_dependencies.m_context, *m_dependencies.m_store,
                m_dependencies.m_holders != nullptr ? *m_dependencies.m_holders : no_holders,
                service, token, m_dependencies.m_ask),
      m_log_timer(*m_dependencies.m_context), m_loop_timer(*m_dependencies.m_context),
      m_plan_timer(*m_dependencies.m_context)
{
    m_shard.m_service = std::move(service);
    m_shard.m_token = fencing_token(token.get());
    m_shard.m_bounds = m_dependencies.m_bounds;
    m_shard.m_budget = m_dependencies.m_budget;
    if (m_shard.m_budget) {
        m_shard.m_max_runs = max_runs(*m_shard.m_budget);
    }
    // With the token in the upper bits, the run numbers of an owner are above those of all earlier
    // owners.
    constexpr unsigned run_bits = 20;
    m_shard.m_next_run = token.get() << run_bits;
    m_log_prefix = "l/" + m_shard.m_service.str() + "/";
}

void shard_owner::start(const std::vector<queue_contract>& queues,
                        const organisation_directory& organisations, std::uint32_t shard_count)
{
    set_queues(queues);
    set_organisations(organisations, shard_count);
    spawn(*m_dependencies.m_context, "the owner of a shard",
          [self = shared_from_this()]() { return self->run(); });
}

void shard_owner::stop()
{
    if (m_stopped) {
        return;
    }
    m_stopped = true;
    flush_log_lines();
    m_shard.m_lost = true;
    m_log_timer.cancel();
    m_loop_timer.cancel();
    for (auto& [worker, timer] : m_hold_timers) {
        timer->cancel();
    }
    for (auto& [id, waiting] : m_waiters) {
        waiting->m_timer->cancel();
    }
}

bool shard_owner::is_lease_valid() const
{
    return read_boot_clock() < m_dependencies.m_lease_valid_until();
}

void shard_owner::update_permissions()
{
    const time_point now = read_boot_clock();
    const bool away = m_dependencies.m_store_unreachable_for_all();
    const bool proven = now < m_dependencies.m_lease_valid_until();
    m_shard.m_may_start = (proven || away) && !m_releasing;
    m_shard.m_may_hold =
        proven || away ||
        now < m_dependencies.m_lease_valid_until() + m_shard.m_bounds.m_unproven_renewal_time;
}

void shard_owner::set_queues(const std::vector<queue_contract>& queues)
{
    guavabay::set_queues(m_shard, queues);
    m_routed_queues.clear();
    for (const queue_contract& queue : queues) {
        if (queue.m_service == m_shard.m_service) {
            m_routed_queues.insert(queue.m_queue);
        }
    }
}

void shard_owner::set_organisations(const organisation_directory& organisations,
                                    std::uint32_t shard_count)
{
    guavabay::set_organisations(m_shard, organisations, shard_count);
    set_configured(m_departures, organisations, read_boot_clock());
}

std::optional<quota_request> shard_owner::next_quota_request()
{
    if (m_stopped || m_releasing) {
        return std::nullopt;
    }
    return guavabay::next_quota_request(m_shard, read_boot_clock());
}

void shard_owner::apply_quota_reply(const quota_reply& reply)
{
    if (m_stopped) {
        return;
    }
    guavabay::apply_quota_reply(m_shard, reply, read_boot_clock());
    schedule_plan();
}

void shard_owner::set_workers(const std::vector<worker_listing>& listings)
{
    if (m_stopped || !m_shard.m_loaded) {
        return;
    }
    m_has_workers = true;
    update_workers(m_shard, listings, read_boot_clock());
    start_worker_loops();
    schedule_plan();
}

void shard_owner::apply_worker_changes(const worker_list_changes& changes)
{
    if (m_stopped || !m_has_workers) {
        return;
    }
    const time_point now = read_boot_clock();
    for (const worker_listing& listing : changes.m_updated) {
        update_worker(m_shard, listing, now);
    }
    for (const worker_id& id : changes.m_removed) {
        unlist_worker(m_shard, id, now);
    }
    start_worker_loops();
    schedule_plan();
}

void shard_owner::remove_departed_workers()
{
    if (!m_stopped) {
        guavabay::remove_departed_workers(m_shard, read_boot_clock());
    }
}

void shard_owner::start_worker_loops()
{
    for (const auto& [id, worker] : m_shard.m_workers) {
        if (m_held_workers.insert(id).second) {
            spawn_loop(*m_dependencies.m_context, "the hold of a worker",
                       [self = shared_from_this(), worker_name = id]() {
                           return self->hold_worker_loop(worker_name);
                       });
        }
    }
}

void shard_owner::schedule_plan()
{
    if (m_plan_pending || m_stopped) {
        return;
    }
    m_plan_pending = true;
    const auto run_pending_plan = [self = shared_from_this()](const error_code& /*error*/ = {}) {
        self->m_plan_pending = false;
        self->run_plan();
    };
    const duration interval =
        std::max<duration>(min_plan_interval, (plan_pause_factor + 1) * m_last_plan_time);
    const duration since = read_boot_clock() - m_last_plan_at;
    if (since >= interval) {
        asio::post(*m_dependencies.m_context, run_pending_plan);
        return;
    }
    m_plan_timer.expires_after(std::chrono::ceil<milliseconds>(interval - since));
    m_plan_timer.async_wait(run_pending_plan);
}

void shard_owner::flush_log_lines()
{
    for (const std::string& note : m_shard.m_log_lines) {
        log_info("shard: " + note + " service=" + m_shard.m_service.str());
    }
    m_shard.m_log_lines.clear();
}

void shard_owner::run_plan()
{
    if (m_stopped || m_releasing) {
        return;
    }
    update_permissions();
    m_last_plan_at = read_boot_clock();
    if (m_dependencies.m_orders != nullptr) {
        m_shard.m_max_new_starts = m_dependencies.m_orders->free_calls();
    }
    try {
        plan(m_shard, m_last_plan_at, read_wall_clock());
    }
    catch (const std::exception& error) {
        // The next round may succeed; leases of workers are renewed meanwhile.
        log_error("shard: unexpected error in a planning round service=" + m_shard.m_service.str() +
                  ": " + error.what());
    }
    m_last_plan_time = read_boot_clock() - m_last_plan_at;
    std::vector<worker_order> orders;
    orders.swap(m_shard.m_orders);
    for (worker_order& order : orders) {
        spawn(*m_dependencies.m_context, "an order to a worker",
              [self = shared_from_this(), what = std::move(order)]() mutable {
                  return self->send_order(std::move(what));
              });
    }
    request_advice();
    for (std::string& line : update_departures(m_departures, m_shard, m_last_plan_at)) {
        m_shard.m_log_lines.push_back(std::move(line));
    }
    flush_log_lines();
    if (!m_shard.m_pending.m_entries.empty() || !m_shard.m_pending.m_ends.empty()) {
        m_log_timer.cancel();
    }
    if (m_shard.m_lost) {
        abandon("another owner was seen");
    }
}

void shard_owner::request_advice()
{
    if (!m_dependencies.m_advice_address) {
        return;
    }
    std::optional<advice_request> request = next_advice_request(m_shard, read_boot_clock());
    if (request) {
        spawn(*m_dependencies.m_context, "a request for advice",
              [self = shared_from_this(), what = std::move(*request)]() mutable {
                  return self->request_advice(std::move(what));
              });
    }
}

asio::awaitable<void> shard_owner::request_advice(advice_request request)
{
    const http_answer answer = co_await m_dependencies.m_http->call(
        *m_dependencies.m_advice_address, platform::encode_advice_request(request), advice_timeout);
    const std::optional<advice_reply> reply = platform::decode_advice_reply(answer);
    if (!reply) {
        log_warning("shard: no usable answer of the advice service step=" +
                    to_string(request.m_step) + ": " + last_reason());
    }
    apply_advice_reply(m_shard, request, reply, read_boot_clock());
    schedule_plan();
}

bool shard_owner::may_relay() const
{
    return m_shard.m_workers.size() > max_direct_workers;
}

zone_id shard_owner::zone_of(const worker_id& worker) const
{
    const auto found = m_shard.m_workers.find(worker);
    return found == m_shard.m_workers.end() ? zone_id() : found->second->m_info.m_zone;
}

bool shard_owner::complete_start(worker_order& order) const
{
    if (order.m_kind != worker_order::kind::start) {
        return true;
    }
    // The lease may have expired while this process was suspended. Another host may then own the
    // shard, so that the order must not be sent.
    const bool may_send = is_lease_valid() || m_dependencies.m_store_unreachable_for_all();
    const auto found = m_shard.m_submissions.find(order.m_task.m_submission);
    if (!may_send || found == m_shard.m_submissions.end() || found->second->m_final_decided) {
        return false;
    }
    order.m_spec = found->second->m_definition.m_spec;
    return true;
}

asio::awaitable<void> shard_owner::send_order(worker_order order)
{
    if (m_stopped) {
        co_return;
    }
    ++m_orders_in_flight;
    std::optional<call_limiter::permit> permit;
    if (m_dependencies.m_orders != nullptr) {
        permit.emplace(co_await m_dependencies.m_orders->acquire());
    }
    if (m_stopped || !complete_start(order)) {
        --m_orders_in_flight;
        if (!m_stopped) {
            apply_order_answer(m_shard, order, order_outcome::withheld, read_boot_clock(),
                               read_wall_clock());
        }
        co_return;
    }
    worker_order copy = order;
    const fencing_token token = token_of(m_shard, order.m_worker);
    order_outcome outcome = co_await m_dependencies.m_workers->send_order(
        std::move(copy), token, zone_of(order.m_worker), may_relay());
    outcome = judge_refusal(m_shard, order.m_worker, token, outcome);
    --m_orders_in_flight;
    if (m_stopped) {
        co_return;
    }
    apply_order_answer(m_shard, order, outcome, read_boot_clock(), read_wall_clock());
    schedule_plan();
}

std::optional<std::vector<log_entry>> shard_owner::decode_record(const store_item& item,
                                                                 std::uint64_t& number) const
{
    const std::optional<std::uint64_t> parsed =
        parse_log_number(item.m_key.substr(m_log_prefix.size()));
    if (!parsed) {
        log_error("shard: " + item.m_key + " is not a record of the log");
        return std::nullopt;
    }
    number = *parsed;
    std::optional<std::vector<log_entry>> entries = decode_log(item.m_value);
    if (!entries) {
        log_error("shard: " + item.m_key + " cannot be decoded: " + last_reason());
    }
    return entries;
}

asio::awaitable<bool> shard_owner::read_log(std::string& after, record_handler handle)
{
    bool more = true;
    while (more && !m_stopped) {
        const http_answer answer = co_await m_dependencies.m_store->call(
            platform::encode_range(m_log_prefix, after, false), read_timeout);
        const range_result page = platform::decode_range(answer);
        if (!page.m_ok) {
            co_return false;
        }
        more = page.m_more && !page.m_items.empty();
        for (const store_item& item : page.m_items) {
            after = item.m_key;
            std::uint64_t number = 0;
            const std::optional<std::vector<log_entry>> entries = decode_record(item, number);
            handle(number, entries ? *entries : std::vector<log_entry>());
        }
    }
    co_return !m_stopped;
}

asio::awaitable<bool> shard_owner::load_log()
{
    const auto replay_record = [this](std::uint64_t number, const std::vector<log_entry>& entries) {
        // Also a record that cannot be decoded occupies its number.
        m_next_log_number = std::max(m_next_log_number, number + 1);
        ++m_replayed_records;
        const time_point now = read_boot_clock();
        const wall_time wall = read_wall_clock();
        for (const log_entry& entry : entries) {
            replay_entry(m_shard, entry, now, wall, number);
        }
    };
    if (!co_await read_log(m_replayed_through, replay_record)) {
        co_return false;
    }
    finish_replay(m_shard, read_boot_clock(), read_wall_clock());
    log_info("shard: loaded service=" + m_shard.m_service.str() +
             " records=" + std::to_string(m_replayed_records) +
             " submissions=" + std::to_string(m_shard.m_submissions.size()) +
             " open=" + std::to_string(m_shard.m_open_submissions.size()) +
             " deferred=" + std::to_string(m_shard.m_deferred.size()) +
             " awaited_workers=" + std::to_string(m_shard.m_awaited_workers.size()) +
             " token=" + std::to_string(m_shard.m_token.get()));
    if (!m_shard.m_deferred.empty()) {
        log_warning("shard: accepted submissions wait for memory service=" +
                    m_shard.m_service.str());
        spawn(*m_dependencies.m_context, "the reading of deferred submissions",
              [self = shared_from_this()]() { return self->load_deferred(); });
    }
    co_return true;
}

asio::awaitable<void> shard_owner::load_deferred()
{
    asio::steady_timer timer(*m_dependencies.m_context);
    error_code ignored;
    while (!m_stopped && !m_shard.m_deferred.empty()) {
        timer.expires_after(deferred_interval);
        co_await timer.async_wait(to_coroutine(ignored));
        const std::optional<std::uint64_t> first = find_deferred_record(m_shard);
        if (m_stopped || !first) {
            continue;
        }
        std::unordered_set<submission_id> loaded;
        std::string after = log_key(*first - 1);
        const auto replay_record = [this, &loaded](std::uint64_t /*number*/,
                                                   const std::vector<log_entry>& entries) {
            const time_point now = read_boot_clock();
            const wall_time wall = read_wall_clock();
            for (const log_entry& entry : entries) {
                replay_deferred(m_shard, entry, loaded, now, wall);
            }
        };
        while (!m_stopped && !co_await read_log(after, replay_record)) {
            timer.expires_after(deferred_interval);
            co_await timer.async_wait(to_coroutine(ignored));
        }
        if (m_stopped) {
            co_return;
        }
        finish_deferred(m_shard, loaded, read_wall_clock());
        log_info("shard: deferred submissions loaded service=" + m_shard.m_service.str() +
                 " count=" + std::to_string(loaded.size()) +
                 " left=" + std::to_string(m_shard.m_deferred.size()));
        schedule_plan();
    }
}

asio::awaitable<void> shard_owner::run()
{
    retry_backoff pause;
    while (!m_stopped && !co_await load_log()) {
        log_warning("shard: cannot read the log service=" + m_shard.m_service.str() + ": " +
                    last_reason());
        m_loop_timer.expires_after(pause.next());
        error_code ignored;
        co_await m_loop_timer.async_wait(to_coroutine(ignored));
    }
    if (m_stopped) {
        co_return;
    }
    start_worker_loops();
    spawn(*m_dependencies.m_context, "the writer of a shard's log",
          [self = shared_from_this()]() { return self->write_log(); });
    spawn(*m_dependencies.m_context, "the review of a shard's records of queues",
          [self = shared_from_this()]() { return self->review_holders(); });
    co_await run_plan_loop();
}

asio::awaitable<void> shard_owner::write_log()
{
    std::string error;
    try {
        co_await write_log_loop();
    }
    catch (const std::exception& thrown) {
        error = thrown.what();
    }
    if (!error.empty()) {
        // Entries that were taken for writing are lost. The next owner reads what is durable.
        m_writing = false;
        abandon("unexpected error in the writer of the log: " + error);
    }
}

void shard_owner::abandon(const std::string& reason)
{
    if (m_stopped) {
        return;
    }
    log_error("shard: given up service=" + m_shard.m_service.str() +
              " token=" + std::to_string(m_shard.m_token.get()) + " reason=" + reason);
    stop();
    spawn(*m_dependencies.m_context, "the removal of an owner record",
          [self = shared_from_this()]() { return self->clear_owner_record(); });
}

asio::awaitable<void> shard_owner::run_plan_loop()
{
    while (!m_stopped) {
        run_plan();
        m_loop_timer.expires_after(idle_plan_interval);
        error_code ignored;
        co_await m_loop_timer.async_wait(to_coroutine(ignored));
    }
}

asio::awaitable<void> shard_owner::write_log_loop()
{
    asio::steady_timer timer(*m_dependencies.m_context);
    error_code ignored;
    while (!m_stopped) {
        std::optional<log_batch> batch = take_batch(m_shard);
        if (!batch) {
            m_log_timer.expires_at(asio::steady_timer::time_point::max());
            co_await m_log_timer.async_wait(to_coroutine(ignored));
            continue;
        }
        m_writing = true;
        const bool stored = batch->m_entries.empty() || co_await write_batch(*batch);
        m_writing = false;
        if (!stored) {
            abandon("the log cannot be written");
            co_return;
        }
        mark_batch_stored(m_shard, *batch, read_wall_clock());
        for (const log_entry& entry : batch->m_entries) {
            if (const auto* accepted = std::get_if<log_accepted>(&entry)) {
                wake_waiters(accepted->m_id, awaited_entry::accepted);
            }
            else if (const auto* cancelled = std::get_if<log_cancelled>(&entry)) {
                wake_waiters(cancelled->m_id, awaited_entry::cancelled);
                note_cancellation_stored(m_shard, cancelled->m_id, read_boot_clock());
            }
        }
        flush_log_lines();
        for (const end_position& end : batch->m_ends) {
            const auto found = m_hold_timers.find(end.m_worker);
            if (found != m_hold_timers.end()) {
                found->second->cancel();
            }
        }
        schedule_plan();
        timer.expires_after(write_interval);
        co_await timer.async_wait(to_coroutine(ignored));
    }
}

void shard_owner::withdraw_submissions(std::vector<log_entry>& entries)
{
    std::set<submission_id> withdrawn;
    std::erase_if(entries, [&](const log_entry& entry) {
        if (const auto* owner = std::get_if<log_submission_organisation>(&entry)) {
            return withdrawn.contains(owner->m_id);
        }
        const auto* accepted = std::get_if<log_accepted>(&entry);
        if (accepted == nullptr) {
            return false;
        }
        const auto record = m_shard.m_submissions.find(accepted->m_id);
        // The log entry of a cancellation needs the entry of its submission before it.
        if (record == m_shard.m_submissions.end() || record->second->m_cancel_requested) {
            return false;
        }
        log_info("shard: submission withdrawn id=" + accepted->m_id.str() +
                 " reason=store unreachable service=" + m_shard.m_service.str());
        const auto [first, last] = m_waiters.equal_range(accepted->m_id);
        for (auto it = first; it != last; ++it) {
            it->second->m_withdrawn = true;
            it->second->m_timer->cancel();
        }
        withdraw(m_shard, accepted->m_id);
        withdrawn.insert(accepted->m_id);
        return true;
    });
}

std::string shard_owner::next_log_key() const
{
    return log_key(m_next_log_number);
}

std::string shard_owner::log_key(std::uint64_t number) const
{
    char text[24];
    std::snprintf(text, sizeof text, "%012llu", static_cast<unsigned long long>(number));
    return m_log_prefix + text;
}

asio::awaitable<bool> shard_owner::write_batch(log_batch& batch)
{
    const std::string key = next_log_key();
    store_commit commit;
    commit.m_guards.emplace_back(owner_key(m_shard.m_service), revision(m_shard.m_token.get()));
    commit.m_guards.emplace_back(key, revision());
    commit.m_puts.push_back({key, encode_log(batch.m_entries), lease_id()});
    bool known_unwritten = true;
    const time_point started_at = read_boot_clock();
    retry_backoff pause;
    asio::steady_timer timer(*m_dependencies.m_context);
    while (!m_stopped) {
        const http_answer answer =
            co_await m_dependencies.m_store->call(platform::encode_commit(commit), write_timeout);
        const commit_result result = platform::decode_commit(answer);
        if (result.m_outcome == commit_outcome::done) {
            m_store_failing = false;
            batch.m_revision = result.m_revision.get();
            ++m_next_log_number;
            co_return true;
        }
        if (result.m_outcome == commit_outcome::conflict) {
            // An earlier attempt whose answer was lost may have written this very batch, also one
            // that the store client repeated through a peer.
            for (const store_item& item : result.m_items) {
                if (item.m_key == key && item.m_value == commit.m_puts.front().m_value) {
                    m_store_failing = false;
                    batch.m_revision = item.m_revision.get();
                    ++m_next_log_number;
                    co_return true;
                }
            }
            log_warning("shard: log write refused, another host owns the shard service=" +
                        m_shard.m_service.str());
            co_return false;
        }
        if (result.m_outcome == commit_outcome::malformed) {
            log_error("shard: log write rejected as malformed key=" + key + ": " + last_reason());
            co_return false;
        }
        known_unwritten = known_unwritten && result.m_outcome == commit_outcome::refused;
        if (read_boot_clock() - started_at > store_write_grace) {
            if (!m_store_failing) {
                log_warning(
                    "shard: outcome of a log write is still open, refusing submissions service=" +
                    m_shard.m_service.str());
            }
            m_store_failing = true;
            // Submissions that cannot be made durable are answered at once, but only those that
            // are known not to have been written.
            withdraw_submissions(m_shard.m_pending.m_entries);
            if (known_unwritten) {
                withdraw_submissions(batch.m_entries);
                if (batch.m_entries.empty()) {
                    m_store_retry_at = read_boot_clock() + store_retry_delay;
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

asio::awaitable<void> shard_owner::hold_worker_loop(worker_id worker)
{
    asio::steady_timer timer(*m_dependencies.m_context);
    const hold_timer_registration registration(m_hold_timers, worker, timer);
    retry_backoff pause(milliseconds(60), milliseconds(300));
    error_code ignored;
    while (!m_stopped && !m_releasing) {
        update_permissions();
        const std::optional<hold_request> request =
            next_hold_request(m_shard, worker, read_boot_clock());
        if (!request) {
            break;
        }
        const worker_record& before = *m_shard.m_workers.at(worker);
        const milliseconds wait =
            !before.m_answered || !request->m_deadline_ms ? milliseconds(0) : hold_wait(before);
        const time_point sent = read_boot_clock();
        hold_request copy = *request;
        const fencing_token token = token_of(m_shard, worker);
        const auto [report, outcome] = co_await m_dependencies.m_workers->hold(
            std::move(copy), token, wait, before.m_info.m_zone, may_relay());
        // Ends that are not acknowledged are reported again, to the next owner of the shard.
        if (m_stopped || m_releasing) {
            break;
        }
        const time_point now = read_boot_clock();
        if (report) {
            pause.reset();
            apply_report(m_shard, worker, *report, sent, now, read_wall_clock());
            schedule_plan();
            const auto found = m_shard.m_workers.find(worker);
            const bool unstored = found != m_shard.m_workers.end() &&
                                  found->second->m_seen_end > found->second->m_stored_end;
            timer.expires_after(unstored ? ack_hold_delay : hold_interval);
        }
        else {
            apply_hold_failure(m_shard, worker, judge_refusal(m_shard, worker, token, outcome),
                               now);
            schedule_plan();
            timer.expires_after(pause.next());
        }
        co_await timer.async_wait(to_coroutine(ignored));
    }
    m_held_workers.erase(worker);
}

void shard_owner::wake_waiters(const submission_id& id, awaited_entry entry)
{
    const auto [first, last] = m_waiters.equal_range(id);
    for (auto it = first; it != last; ++it) {
        if (it->second->m_entry == entry) {
            it->second->m_stored = true;
            it->second->m_timer->cancel();
        }
    }
}

asio::awaitable<shard_owner::wait_result>
shard_owner::wait_until_stored(submission_id id, awaited_entry entry, milliseconds timeout)
{
    asio::steady_timer timer(*m_dependencies.m_context, timeout);
    waiter waiting{entry, &timer, false, false};
    const auto waiter_entry = m_waiters.emplace(std::move(id), &waiting);
    m_log_timer.cancel();
    error_code ignored;
    co_await timer.async_wait(to_coroutine(ignored));
    m_waiters.erase(waiter_entry);
    if (waiting.m_withdrawn) {
        co_return wait_result::withdrawn;
    }
    co_return waiting.m_stored ? wait_result::stored : wait_result::unknown;
}

bool shard_owner::may_decide() const
{
    return !m_stopped && !m_releasing && m_shard.m_loaded && is_lease_valid();
}

asio::awaitable<owner_reply> shard_owner::submit(queue_id queue, submission_id id, submission what,
                                                 organisation_id organisation)
{
    if (may_decide() && !is_known(m_shard, id)) {
        owner_reply reply = co_await check_is_new(queue, id, organisation);
        if (reply.m_answer != owner_answer::none) {
            co_return reply;
        }
        if (reply.m_state == submission_state::canceled && may_decide()) {
            // Holds for the submission here, too.
            guavabay::cancel(m_shard, id, organisation);
        }
    }
    co_return co_await submit_here(std::move(queue), std::move(id), std::move(what),
                                   std::move(organisation));
}

asio::awaitable<owner_reply> shard_owner::submit_here(queue_id queue, submission_id id,
                                                      submission what, organisation_id organisation)
{
    owner_reply reply;
    if (!may_decide()) {
        reply.m_answer = owner_answer::not_owner;
        co_return reply;
    }
    if (!is_accessible(m_shard, id, organisation)) {
        reply.m_answer = owner_answer::forbidden;
        co_return reply;
    }
    const bool known = is_known(m_shard, id);
    if (m_store_failing && !m_writing && read_boot_clock() > m_store_retry_at) {
        // No write is pending that would show whether the store has recovered, so this
        // submission probes it.
        m_store_failing = false;
    }
    if (m_store_failing && !known) {
        reply.m_answer = owner_answer::store_away;
        reply.m_retry_after_s = retry_after_store_s;
        co_return reply;
    }
    const admission_result result = admit(m_shard, id, queue, std::move(what), read_boot_clock(),
                                          read_wall_clock(), organisation);
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
    const time_point started_at = read_boot_clock();
    const wait_result result_of_wait =
        co_await wait_until_stored(id, awaited_entry::accepted, caller_timeout);
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
             std::to_string(static_cast<int>(to_milliseconds(read_boot_clock() - started_at))));
    schedule_plan();
    co_return reply;
}

asio::awaitable<owner_reply> shard_owner::cancel(queue_id queue, submission_id id,
                                                 organisation_id organisation)
{
    // Also a cancellation of an unknown id has to be found by other shards of the queue.
    if (may_decide() && !is_known(m_shard, id) && !co_await m_holders.record(queue)) {
        owner_reply reply;
        reply.m_answer = owner_answer::store_away;
        reply.m_retry_after_s = retry_after_store_s;
        co_return reply;
    }
    const owner_reply reply = co_await cancel_here(id, organisation);
    if (reply.m_answer != owner_answer::none) {
        co_return reply;
    }
    holder_inquiry inquiry{{}, {}, queue, id, organisation, inquiry_subject::cancellation};
    co_return co_await m_holders.ask_others(std::move(inquiry));
}

asio::awaitable<owner_reply> shard_owner::cancel_here(submission_id id,
                                                      organisation_id organisation)
{
    owner_reply reply;
    if (!may_decide()) {
        reply.m_answer = owner_answer::not_owner;
        co_return reply;
    }
    if (!is_accessible(m_shard, id, organisation)) {
        reply.m_answer = owner_answer::forbidden;
        co_return reply;
    }
    if (!has_room_for_cancellation(m_shard, id)) {
        ++m_shard.m_budget->m_refusals;
        log_info("shard: cancellations of unknown ids refused, their memory is used up service=" +
                 m_shard.m_service.str());
        reply.m_answer = owner_answer::refused;
        co_return reply;
    }
    note_cancellation(m_shard, id, read_boot_clock());
    flush_log_lines();
    const bool known = guavabay::cancel(m_shard, id, organisation);
    const auto found = m_shard.m_submissions.find(id);
    if (known && found != m_shard.m_submissions.end() && found->second->m_final_decided &&
        found->second->m_visible == found->second->m_final) {
        reply.m_answer = owner_answer::done;
        co_return reply;
    }
    // Also an unknown submission is reported as such only with the entry in the log: the write
    // proves that no other host has taken the shard over and accepted the submission.
    const bool stored = co_await wait_until_stored(id, awaited_entry::cancelled, caller_timeout) ==
                        wait_result::stored;
    if (!stored) {
        note_cancellation_open(m_shard, id, read_boot_clock());
        flush_log_lines();
    }
    if (stored) {
        reply.m_answer = known ? owner_answer::done : owner_answer::none;
    }
    else {
        reply.m_answer = owner_answer::unknown;
    }
    schedule_plan();
    co_return reply;
}

asio::awaitable<owner_reply> shard_owner::state(queue_id queue, submission_id id,
                                                organisation_id organisation)
{
    const owner_reply reply = state_here(id, organisation);
    if (reply.m_answer != owner_answer::none) {
        co_return reply;
    }
    holder_inquiry inquiry{{}, {}, queue, id, organisation, inquiry_subject::state};
    co_return co_await m_holders.ask_others(std::move(inquiry));
}

owner_reply shard_owner::state_here(const submission_id& id,
                                    const organisation_id& organisation) const
{
    owner_reply reply;
    if (m_stopped || !m_shard.m_loaded ||
        !(is_lease_valid() || m_dependencies.m_store_unreachable_for_all())) {
        reply.m_answer = owner_answer::not_owner;
        return reply;
    }
    const std::optional<submission_state> state = state_of(m_shard, id);
    if (!is_accessible(m_shard, id, organisation)) {
        reply.m_answer = owner_answer::forbidden;
    }
    else if (state) {
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

asio::awaitable<owner_reply> shard_owner::count(queue_id queue)
{
    owner_reply reply = count_here(queue);
    if (reply.m_answer != owner_answer::done) {
        co_return reply;
    }
    holder_inquiry inquiry{{}, {}, queue, {}, {}, inquiry_subject::count};
    const owner_reply others = co_await m_holders.ask_others(std::move(inquiry));
    reply.m_answer = others.m_answer;
    reply.m_retry_after_s = others.m_retry_after_s;
    reply.m_count += others.m_count;
    co_return reply;
}

owner_reply shard_owner::count_here(const queue_id& queue) const
{
    owner_reply reply;
    if (m_stopped || !m_shard.m_loaded ||
        !(is_lease_valid() || m_dependencies.m_store_unreachable_for_all())) {
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
    if (m_stopped || !m_shard.m_loaded) {
        return reply;
    }
    reply.m_owner = true;
    pool_instructions instructions;
    const auto to_id = [](const std::string& name) { return machine_id(name); };
    std::transform(request.m_machines.begin(), request.m_machines.end(),
                   std::back_inserter(instructions.m_cordoned), to_id);
    std::transform(request.m_upkeep_due.begin(), request.m_upkeep_due.end(),
                   std::back_inserter(instructions.m_upkeep_due), to_id);
    instructions.m_urgent = request.m_urgent;
    instructions.m_incoming_machines = request.m_coming;
    const time_point now = read_boot_clock();
    apply_instructions(m_shard, instructions, now);
    for (const machine_id& machine : instructions.m_cordoned) {
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
        reply.m_machines.push_back(
            {worker->m_info.m_machine.str(), static_cast<std::uint32_t>(worker->m_runs.size()),
             lasting, static_cast<std::uint32_t>(expected_busy_time(*worker, now).count())});
    }
    schedule_plan();
    return reply;
}

asio::awaitable<void> shard_owner::release()
{
    if (m_stopped) {
        co_return;
    }
    m_releasing = true;
    m_shard.m_may_start = false;
    asio::steady_timer timer(*m_dependencies.m_context);
    error_code ignored;
    const time_point started_at = read_boot_clock();
    const auto busy = [this] {
        return m_orders_in_flight > 0 || m_writing || !m_shard.m_pending.m_entries.empty();
    };
    constexpr milliseconds poll{5};
    while (!m_stopped && busy() && read_boot_clock() - started_at < release_timeout) {
        m_log_timer.cancel();
        timer.expires_after(poll);
        co_await timer.async_wait(to_coroutine(ignored));
    }
    const duration waited = read_boot_clock() - started_at;
    log_info("owner: releasing shard service=" + m_shard.m_service.str() + " waited_ms=" +
             std::to_string(std::chrono::duration_cast<milliseconds>(waited).count()) + " orders=" +
             std::to_string(m_orders_in_flight) + " writing=" + (m_writing ? "yes" : "no") +
             " pending=" + std::to_string(m_shard.m_pending.m_entries.size()) +
             " busy_workers=" + std::to_string(make_release_entry(m_shard).m_busy_workers.size()));
    if (m_stopped) {
        co_return;
    }
    // A closing entry would conflict with a write whose outcome is open.
    commit_outcome outcome = commit_outcome::conflict;
    if (m_shard.m_loaded && !busy()) {
        outcome = co_await remove_owner_record(true);
    }
    stop();
    if (outcome == commit_outcome::conflict) {
        // The next owner does without the closing entry, as after a crash, but need not wait for
        // the end of this host's lease.
        outcome = co_await remove_owner_record(false);
    }
    log_info("owner: shard released service=" + m_shard.m_service.str() +
             " outcome=" + std::to_string(static_cast<int>(outcome)));
    if (outcome != commit_outcome::done && outcome != commit_outcome::conflict) {
        spawn(*m_dependencies.m_context, "the removal of an owner record",
              [self = shared_from_this()]() { return self->clear_owner_record(); });
    }
}

asio::awaitable<void> shard_owner::clear_owner_record()
{
    retry_backoff pause;
    asio::steady_timer timer(*m_dependencies.m_context);
    while (true) {
        const commit_outcome outcome = co_await remove_owner_record(false);
        // After a conflict the record is gone or belongs to a newer owner.
        if (outcome == commit_outcome::done || outcome == commit_outcome::conflict) {
            log_info("owner: record removed service=" + m_shard.m_service.str() +
                     " token=" + std::to_string(m_shard.m_token.get()));
            co_return;
        }
        log_warning("owner: record not removed, trying again service=" + m_shard.m_service.str() +
                    " outcome=" + std::to_string(static_cast<int>(outcome)));
        timer.expires_after(pause.next());
        error_code ignored;
        co_await timer.async_wait(to_coroutine(ignored));
    }
}

asio::awaitable<commit_outcome> shard_owner::remove_owner_record(bool with_closing_entry)
{
    const std::string record = owner_key(m_shard.m_service);
    store_commit commit;
    commit.m_guards.emplace_back(record, revision(m_shard.m_token.get()));
    commit.m_removes.push_back(record);
    if (with_closing_entry) {
        const std::string key = next_log_key();
        commit.m_guards.emplace_back(key, revision());
        commit.m_puts.push_back({key, encode_log({make_release_entry(m_shard)}), lease_id()});
    }
    const http_answer answer =
        co_await m_dependencies.m_store->call(platform::encode_commit(commit), write_timeout);
    co_return platform::decode_commit(answer).m_outcome;
}

} // namespace guavabay
