#include "dispatch/machine_controller.h"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include "core/result.h"
#include "dispatch/ownership.h"
#include "fleet/wave_report.h"
#include "log/log.h"
#include "net/spawn.h"
#include "peer/bounded_archive.h"
#include "platform/machine_calls.h"
#include "platform/operator_records.h"
#include "platform/store_calls.h"

namespace guavabay {

namespace {

/// Pause between two rounds of the control loop.
constexpr milliseconds round_interval{150};

/// Time limits of calls to the store and the list of machines, and of an order to the platform.
constexpr milliseconds call_timeout{1500};
constexpr milliseconds order_timeout{1200};

/// Delay before an order that was refused or not answered is sent again.
constexpr milliseconds order_retry_delay{700};

/// Interval of log lines about the machines that each pool has and needs.
constexpr milliseconds pool_log_interval{1000};

/// A machine of a wave that still drains after this time is logged.
constexpr milliseconds drain_log_delay{3500};

/// Fraction of the platform's limit of orders per second that is used, and the time in seconds over
/// which unused permits accumulate.
constexpr double order_rate_fraction = 0.8;
constexpr double order_burst_seconds = 0.3;

/// Prefix of the records, one per wave, of machines that have begun their maintenance.
constexpr std::string_view progress_prefix = "w/";

/// Store key of a wave's progress record.
std::string progress_key(std::int64_t wave)
{
    return std::string(progress_prefix) + std::to_string(wave);
}

/// Progress record of a wave: machines that have begun their maintenance, and machines that were
/// about to be ordered down when it was written.
struct written_progress {
    std::vector<std::string> m_begun;
    std::vector<std::string> m_intended;
};

/// Encodes the progress record of a wave.
std::string encode_progress(const upkeep_progress& wave)
{
    written_progress written;
    for (const auto& [id, machine] : wave.m_machines) {
        if (machine.m_order_accepted) {
            written.m_begun.push_back(id.str());
        }
        else if (machine.m_possibly_ordered || machine.m_phase == upkeep_phase::ordered) {
            written.m_intended.push_back(id.str());
        }
    }
    std::string bytes;
    bounded_output_archive archive(bytes);
    archive(written.m_begun, written.m_intended);
    return bytes;
}

/// Decodes a progress record; empty with a reason if it is malformed.
std::optional<written_progress> decode_progress(std::string_view bytes)
{
    try {
        bounded_input_archive archive(bytes);
        written_progress written;
        archive(written.m_begun, written.m_intended);
        return written;
    }
    catch (const std::exception& error) {
        return fail(std::string("malformed progress record of a wave: ") + error.what());
    }
}

/// Number of the wave to which a record belongs.
std::int64_t wave_number(const store_item& item, std::string_view prefix)
{
    return std::atoll(item.m_key.substr(prefix.size()).c_str());
}

/// What the outcome of an order tells about the upkeep.
upkeep_answer to_upkeep_answer(platform::machine_outcome outcome)
{
    switch (outcome) {
    case platform::machine_outcome::accepted:
        return upkeep_answer::accepted;
    case platform::machine_outcome::refused_busy:
        return upkeep_answer::busy;
    case platform::machine_outcome::refused_wave:
    case platform::machine_outcome::refused_invalid:
        return upkeep_answer::refused;
    case platform::machine_outcome::refused_stale_token:
    case platform::machine_outcome::rate_limited:
    case platform::machine_outcome::failed:
        return upkeep_answer::not_done;
    case platform::machine_outcome::unknown:
        break;
    }
    return upkeep_answer::unknown;
}

/// Converts names to machine ids.
std::set<machine_id> to_ids(const std::vector<std::string>& names)
{
    std::set<machine_id> ids;
    for (const std::string& name : names) {
        ids.emplace(name);
    }
    return ids;
}

} // namespace

service_id machine_control_shard()
{
    return service_id("~machines");
}

machine_controller::machine_controller(machine_controller_dependencies dependencies, revision token)
    : m_dependencies(std::move(dependencies)), m_token(token.get())
{
}

void machine_controller::start()
{
    spawn_loop(*m_dependencies.m_context, "the machine controller",
               [self = shared_from_this()]() { return self->run(); });
}

bool machine_controller::is_lease_valid() const
{
    return read_boot_clock() < m_dependencies.m_lease_valid_until();
}

asio::awaitable<bool> machine_controller::read_progress()
{
    const std::string status_prefix = platform::wave_status_prefix();
    std::vector<store_item> written;
    std::vector<store_item> statuses;
    if (!co_await read_records(std::string(progress_prefix), written) ||
        !co_await read_records(status_prefix, statuses)) {
        co_return false;
    }
    for (const store_item& item : written) {
        const std::int64_t number = wave_number(item, progress_prefix);
        if (const auto progress = decode_progress(item.m_value)) {
            m_recorded_begun[number] = to_ids(progress->m_begun);
            m_recorded_intents[number] = to_ids(progress->m_intended);
        }
        else {
            log_error("machines: " + item.m_key + ": " + last_reason());
        }
    }
    for (const store_item& item : statuses) {
        if (platform::decode_wave_succeeded(item.m_value)) {
            m_succeeded.insert(wave_number(item, status_prefix));
        }
    }
    m_progress_loaded = true;
    co_return true;
}

asio::awaitable<bool> machine_controller::read_records(std::string prefix,
                                                       std::vector<store_item>& items)
{
    std::string after;
    bool more = true;
    while (more) {
        http_call call = platform::encode_range(prefix, after, false);
        const http_answer answer =
            co_await m_dependencies.m_store->call(std::move(call), call_timeout);
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
    co_return true;
}

asio::awaitable<bool> machine_controller::read_machines()
{
    std::vector<machine_listing> listings;
    std::string page_token;
    do {
        const http_answer answer = co_await m_dependencies.m_client->call(
            *m_dependencies.m_settings->m_machines_address,
            platform::encode_machine_list(page_token), call_timeout);
        platform::machine_page page = platform::decode_machine_list(answer);
        if (!page.m_ok) {
            co_return false;
        }
        for (machine_listing& machine : page.m_machines) {
            listings.push_back(std::move(machine));
        }
        page_token = page.m_next_page_token;
    } while (!page_token.empty());
    m_listings = std::move(listings);
    co_return true;
}

void machine_controller::load_new_waves()
{
    for (const auto& [key, item] : m_dependencies.m_operator->items()) {
        if (!key.starts_with(platform::wave_prefix)) {
            continue;
        }
        const std::optional<upkeep_wave> wave = platform::decode_wave(item.m_value);
        if (!wave) {
            log_warning("machines: " + key + ": " + last_reason());
            continue;
        }
        if (m_waves.contains(wave->m_number) || m_succeeded.contains(wave->m_number)) {
            continue;
        }
        upkeep_progress progress;
        progress.m_wave = *wave;
        progress.m_first_seen_at = read_boot_clock();
        for (const machine_id& machine : wave->m_machines) {
            upkeep_machine& added = progress.m_machines[machine];
            if (m_recorded_begun[wave->m_number].contains(machine)) {
                added.m_order_accepted = true;
                added.m_phase = upkeep_phase::away;
                added.m_phase_since = progress.m_first_seen_at;
            }
            added.m_possibly_ordered = m_recorded_intents[wave->m_number].contains(machine);
        }
        log_info("machines: wave added wave=" + std::to_string(wave->m_number) +
                 " machines=" + std::to_string(wave->m_machines.size()) +
                 " most_at_once=" + std::to_string(wave->m_max_concurrent) +
                 " duration_ms=" + std::to_string(wave->m_duration.count()) +
                 " token=" + std::to_string(m_token.get()));
        m_waves[wave->m_number] = std::move(progress);
    }
}

asio::awaitable<bool> machine_controller::write_progress(const upkeep_progress& wave)
{
    store_commit commit;
    commit.m_guards.emplace_back(owner_key(machine_control_shard()), revision(m_token.get()));
    commit.m_puts.push_back(
        {progress_key(wave.m_wave.m_number), encode_progress(wave), lease_id()});
    commit.m_puts.push_back({platform::wave_status_key(wave.m_wave.m_number),
                             platform::encode_wave_status(wave.m_succeeded), lease_id()});
    const http_answer answer =
        co_await m_dependencies.m_store->call(platform::encode_commit(commit), call_timeout);
    const commit_result result = platform::decode_commit(answer);
    if (result.m_outcome == commit_outcome::conflict) {
        m_stopped = true;
    }
    co_return result.m_outcome == commit_outcome::done;
}

asio::awaitable<http_answer> machine_controller::send_order(http_call order)
{
    // The process may have been suspended since the order was decided. Another host may control the
    // machines by then.
    order.m_may_send = [this] { return !m_stopped && is_lease_valid(); };
    ++m_orders_in_flight;
    const http_answer answer = co_await m_dependencies.m_client->call(
        *m_dependencies.m_settings->m_machines_address, std::move(order), order_timeout);
    --m_orders_in_flight;
    co_return answer;
}

asio::awaitable<void> machine_controller::send_upkeep_order(std::int64_t wave, machine_id machine)
{
    const http_answer answer = co_await send_order(
        platform::encode_upkeep(machine, wave, m_dependencies.m_settings->m_host, m_token));
    const platform::machine_outcome outcome = platform::decode_machine_answer(answer);
    log_info("machines: maintenance ordered machine=" + machine.str() + " wave=" +
             std::to_string(wave) + " outcome=" + std::to_string(static_cast<int>(outcome)));
    const auto found = m_waves.find(wave);
    if (found == m_waves.end()) {
        co_return;
    }
    if (outcome == platform::machine_outcome::refused_stale_token) {
        log_warning(
            "machines: platform refused a stale fencing token; stopping the controller machine=" +
            machine.str() + " token=" + std::to_string(m_token.get()));
        m_stopped = true;
        co_return;
    }
    const time_point now = read_boot_clock();
    apply_upkeep_answer(found->second.m_machines[machine], to_upkeep_answer(outcome),
                        now + order_retry_delay, now);
}

asio::awaitable<void> machine_controller::send_move_order(machine_id machine)
{
    const auto found = m_moves.m_moves.find(machine);
    if (found == m_moves.m_moves.end()) {
        co_return;
    }
    const service_id target_pool = found->second.m_to;
    const http_answer answer = co_await send_order(platform::encode_pool_move(
        machine, target_pool, m_dependencies.m_settings->m_host, m_token));
    const platform::machine_outcome outcome = platform::decode_machine_answer(answer);
    log_info("machines: moved machine=" + machine.str() + " to=" + target_pool.str() +
             " outcome=" + std::to_string(static_cast<int>(outcome)));
    const auto entry = m_moves.m_moves.find(machine);
    if (entry == m_moves.m_moves.end()) {
        co_return;
    }
    switch (outcome) {
    case platform::machine_outcome::accepted:
        entry->second.m_phase = move_phase::arriving;
        entry->second.m_since = read_boot_clock();
        break;
    case platform::machine_outcome::refused_stale_token:
        log_warning(
            "machines: platform refused a stale fencing token; stopping the controller machine=" +
            machine.str() + " token=" + std::to_string(m_token.get()));
        m_stopped = true;
        break;
    case platform::machine_outcome::unknown:
        entry->second.m_next_order_at = read_boot_clock() + order_retry_delay;
        break;
    default:
        m_moves.m_moves.erase(entry);
        break;
    }
}

asio::awaitable<void> machine_controller::send_cordon_requests()
{
    // Each pool gets one request, also without machines to drain, because the reply reports its
    // load.
    std::map<service_id, cordon_request> requests;
    for (const machine_listing& listing : m_listings) {
        requests[listing.m_pool].m_service = listing.m_pool;
    }
    for (auto& [number, wave] : m_waves) {
        const milliseconds upkeep_time = m_dependencies.m_settings->m_upkeep_duration;
        update_wave(wave, m_listings, upkeep_time, read_boot_clock());
        const bool urgent = is_deadline_at_risk(wave, upkeep_time, read_boot_clock());
        for (const auto& [pool, machines] :
             select_machines_to_drain(wave, m_listings, m_loads, upkeep_time, read_boot_clock())) {
            cordon_request& request = requests[pool];
            request.m_service = pool;
            request.m_urgent = request.m_urgent || urgent;
            for (const machine_id& machine : machines) {
                request.m_machines.push_back(machine.str());
            }
        }
    }
    for (const machine_listing& listing : m_listings) {
        const bool due = std::any_of(m_waves.begin(), m_waves.end(), [&](const auto& entry) {
            const auto found = entry.second.m_machines.find(listing.m_machine);
            return found != entry.second.m_machines.end() &&
                   found->second.m_phase == upkeep_phase::waiting;
        });
        if (due) {
            requests[listing.m_pool].m_upkeep_due.push_back(listing.m_machine.str());
        }
    }
    for (const auto& [machine, move] : m_moves.m_moves) {
        ++requests[move.m_to].m_coming;
        requests[move.m_to].m_service = move.m_to;
        if (move.m_phase != move_phase::arriving) {
            requests[move.m_from].m_service = move.m_from;
            requests[move.m_from].m_machines.push_back(machine.str());
        }
    }
    m_drained_machines.clear();
    m_loads.clear();
    if (requests.empty()) {
        co_return;
    }
    // All pools are asked at the same time: a decision needs the answers of all, and an owner that
    // does not answer must not delay the others.
    auto round = std::make_shared<cordon_round>(*m_dependencies.m_context, requests.size());
    for (auto& [pool, request] : requests) {
        spawn(*m_dependencies.m_context, "a request to the owner of a pool",
              [self = shared_from_this(), round, what = std::move(request)]() mutable {
                  return self->request_cordon(round, std::move(what));
              });
    }
    // Requests to owners on this host have been answered already.
    if (round->m_open > 0) {
        error_code ignored;
        co_await round->m_all_answered.async_wait(to_coroutine(ignored));
    }
    // Machines that stand by are off, so that no worker reports for them.
    const std::set<service_id> standby = standby_pools();
    for (const machine_listing& listing : m_listings) {
        if (standby.contains(listing.m_pool)) {
            m_drained_machines.insert(listing.m_machine);
        }
    }
}

asio::awaitable<void> machine_controller::request_cordon(std::shared_ptr<cordon_round> round,
                                                         cordon_request request)
{
    const service_id pool = request.m_service;
    const std::optional<cordon_reply> reply = co_await m_dependencies.m_cordon(std::move(request));
    if (--round->m_open == 0) {
        round->m_all_answered.cancel();
    }
    if (!reply || !reply->m_owner) {
        co_return;
    }
    for (const std::string& name : reply->m_clear) {
        m_drained_machines.emplace(name);
    }
    pool_load& load = m_loads[pool];
    load.m_needed_machines = reply->m_needed;
    for (const machine_report& machine : reply->m_machines) {
        load.m_machines[machine_id(machine.m_machine)] = {machine.m_runs, machine.m_lasting,
                                                          milliseconds(machine.m_busy_ms)};
    }
}

void machine_controller::log_pools()
{
    const time_point now = read_boot_clock();
    if (now < m_next_pool_log) {
        return;
    }
    m_next_pool_log = now + pool_log_interval;
    struct pool_count {
        std::size_t m_up = 0;
        std::size_t m_away = 0;
        std::size_t m_leaving = 0;
        std::size_t m_coming = 0;
    };
    std::map<service_id, pool_count> counts;
    for (const machine_listing& listing : m_listings) {
        pool_count& count = counts[listing.m_pool];
        ++(listing.m_state == machine_state::up ? count.m_up : count.m_away);
    }
    for (const auto& [machine, move] : m_moves.m_moves) {
        ++counts[move.m_to].m_coming;
        ++counts[move.m_from].m_leaving;
    }
    for (const auto& [pool, count] : counts) {
        const auto load = m_loads.find(pool);
        log_info("machines: pool=" + pool.str() + " up=" + std::to_string(count.m_up) + " away=" +
                 std::to_string(count.m_away) + " leaving=" + std::to_string(count.m_leaving) +
                 " coming=" + std::to_string(count.m_coming) + " needed=" +
                 (load == m_loads.end()
                      ? std::string("unknown")
                      : std::to_string(static_cast<int>(load->second.m_needed_machines))));
    }
}

void machine_controller::log_delays(upkeep_progress& wave)
{
    std::map<machine_id, service_id> pools;
    for (const machine_listing& listing : m_listings) {
        pools[listing.m_machine] = listing.m_pool;
    }
    for (auto& [id, machine] : wave.m_machines) {
        const duration draining_for = read_boot_clock() - machine.m_phase_since;
        if (machine.m_phase != upkeep_phase::draining || draining_for < drain_log_delay ||
            machine.m_delay_logged) {
            continue;
        }
        machine.m_delay_logged = true;
        const service_id& pool = pools[id];
        const auto load = m_loads.find(pool);
        std::string text = "machines: machine is slow to drain machine=" + id.str() +
                           " wave=" + std::to_string(wave.m_wave.m_number) + " pool=" + pool.str() +
                           " drained=" + (m_drained_machines.contains(id) ? "yes" : "no");
        if (load != m_loads.end() && load->second.m_machines.contains(id)) {
            const machine_load& reported = load->second.m_machines.at(id);
            text += " runs=" + std::to_string(reported.m_runs) +
                    " long_running=" + (reported.m_has_long_running ? "yes" : "no");
        }
        log_info(text);
    }
}

asio::awaitable<void> machine_controller::advance_wave(upkeep_progress& wave)
{
    const std::int64_t number = wave.m_wave.m_number;
    log_delays(wave);
    const fleet_view fleet{m_listings, m_loads, m_drained_machines, m_moves.m_moves};
    for (const std::string& text : report_wave(wave, fleet, read_boot_clock())) {
        log_info("machines: " + text);
    }
    std::vector<machine_id> orders;
    for (const machine_id& machine :
         select_machines_to_order(wave, m_drained_machines, read_boot_clock())) {
        if (!try_acquire_order_permit()) {
            break;
        }
        upkeep_machine& entry = wave.m_machines[machine];
        if (entry.m_phase == upkeep_phase::draining) {
            entry.m_phase = upkeep_phase::ordered;
            entry.m_phase_since = read_boot_clock();
        }
        entry.m_next_order_at = read_boot_clock() + order_timeout + order_retry_delay;
        orders.push_back(machine);
    }
    const auto begun_count = static_cast<std::size_t>(
        std::count_if(wave.m_machines.begin(), wave.m_machines.end(),
                      [](const auto& entry) { return entry.second.m_order_accepted; }));
    const bool complete = is_complete(wave) && !m_succeeded.contains(number);
    if (orders.empty() && begun_count == m_recorded_begun[number].size() && !complete &&
        wave.m_status_written) {
        co_return;
    }
    wave.m_succeeded = wave.m_succeeded || complete;
    // The intent is stored before the order is sent, so that the next controller knows of every
    // machine that may have gone down.
    if (!co_await write_progress(wave)) {
        for (const machine_id& machine : orders) {
            wave.m_machines[machine].m_phase = upkeep_phase::draining;
            wave.m_machines[machine].m_next_order_at = {};
        }
        co_return;
    }
    wave.m_status_written = true;
    for (const auto& [id, machine] : wave.m_machines) {
        if (machine.m_order_accepted) {
            m_recorded_begun[number].insert(id);
        }
    }
    if (complete) {
        m_succeeded.insert(number);
        log_info("machines: wave succeeded wave=" + std::to_string(number));
    }
    for (const machine_id& machine : orders) {
        if (m_stopped || !is_lease_valid()) {
            co_return;
        }
        spawn(*m_dependencies.m_context, "an order of maintenance",
              [self = shared_from_this(), number, machine]() {
                  return self->send_upkeep_order(number, machine);
              });
    }
}

std::set<service_id> machine_controller::standby_pools() const
{
    std::set<service_id> standby;
    if (const operator_config* config = m_dependencies.m_config()) {
        for (const pool_config& pool : config->m_pools) {
            if (pool.m_standby) {
                standby.insert(pool.m_service);
            }
        }
    }
    return standby;
}

void machine_controller::advance_moves()
{
    const std::set<service_id> standby = standby_pools();
    std::set<machine_id> in_wave;
    for (const auto& [number, wave] : m_waves) {
        for (const auto& [machine, entry] : wave.m_machines) {
            if (entry.m_phase != upkeep_phase::waiting && entry.m_phase != upkeep_phase::done) {
                in_wave.insert(machine);
            }
        }
    }
    const time_point now = read_boot_clock();
    update_moves(m_moves, m_listings, now);
    choose_moves(m_moves, m_listings, m_loads, standby, in_wave, now);
    std::vector<machine_id> orders;
    for (const auto& [machine, pending] : m_moves.m_moves) {
        const bool clear = m_drained_machines.contains(machine);
        if ((pending.m_phase == move_phase::draining && clear) ||
            (pending.m_phase == move_phase::ordered && pending.m_next_order_at <= now)) {
            orders.push_back(machine);
        }
    }
    for (const machine_id& machine : orders) {
        if (m_stopped || !is_lease_valid() || !try_acquire_order_permit()) {
            return;
        }
        pending_move& pending = m_moves.m_moves[machine];
        pending.m_phase = move_phase::ordered;
        pending.m_next_order_at = now + order_timeout + order_retry_delay;
        spawn(*m_dependencies.m_context, "an order of a move",
              [self = shared_from_this(), machine]() { return self->send_move_order(machine); });
    }
}

bool machine_controller::try_acquire_order_permit()
{
    const time_point now = read_boot_clock();
    const double rate = m_dependencies.m_settings->m_machine_orders_per_s;
    const double max_permits = std::max(1.0, rate * order_burst_seconds);
    const double elapsed_seconds =
        to_milliseconds(now - m_permits_refilled_at) / milliseconds::period::den;
    m_order_permits =
        std::min(max_permits, m_order_permits + rate * order_rate_fraction * elapsed_seconds);
    m_permits_refilled_at = now;
    if (m_order_permits < 1) {
        return false;
    }
    m_order_permits -= 1;
    return true;
}

asio::awaitable<void> machine_controller::run()
{
    asio::steady_timer timer(*m_dependencies.m_context);
    while (!m_stopped) {
        if (is_lease_valid() && m_dependencies.m_settings->m_machines_address &&
            (m_progress_loaded || co_await read_progress()) && co_await read_machines()) {
            load_new_waves();
            co_await send_cordon_requests();
            for (auto it = m_waves.begin(); it != m_waves.end() && !m_stopped;) {
                co_await advance_wave(it->second);
                const bool finished =
                    m_succeeded.contains(it->first) &&
                    std::all_of(it->second.m_machines.begin(), it->second.m_machines.end(),
                                [](const auto& entry) {
                                    return entry.second.m_phase == upkeep_phase::done;
                                });
                it = finished ? m_waves.erase(it) : std::next(it);
            }
            if (!m_stopped) {
                advance_moves();
                log_pools();
            }
        }
        timer.expires_after(round_interval);
        error_code ignored;
        co_await timer.async_wait(to_coroutine(ignored));
    }
}

asio::awaitable<void> machine_controller::release()
{
    m_stopped = true;
    // An order that is still open would reach the platform beside those of the next controller.
    asio::steady_timer timer(*m_dependencies.m_context);
    const time_point end = read_boot_clock() + order_timeout;
    while (m_orders_in_flight > 0 && read_boot_clock() < end) {
        constexpr milliseconds poll{5};
        timer.expires_after(poll);
        error_code ignored;
        co_await timer.async_wait(to_coroutine(ignored));
    }
    store_commit commit;
    const std::string key = owner_key(machine_control_shard());
    commit.m_guards.emplace_back(key, revision(m_token.get()));
    commit.m_removes.push_back(key);
    co_await m_dependencies.m_store->call(platform::encode_commit(commit), call_timeout);
}

} // namespace guavabay
