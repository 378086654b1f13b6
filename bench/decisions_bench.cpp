#include <benchmark/benchmark.h>

#include "broker/slot_broker.h"
#include "config/config_view.h"
#include "contract/contract_parser.h"
#include "contract/digest.h"
#include "core/check.h"
#include "fleet/budget.h"
#include "fleet/task_board.h"
#include "fleet/wave_plan.h"
#include "metrics/latency_histogram.h"
#include "peer/codec.h"

using namespace guavabay;

namespace {

contract make_terms(const std::string& customer, const std::string& service)
{
    contract terms;
    terms.m_customer = customer_id(customer);
    terms.m_keys = {digest_of("key-" + customer)};
    service_grant grant;
    grant.m_name = service_id(service);
    grant.m_rate_per_second = 1e6;
    grant.m_burst = 1'000'000;
    grant.m_concurrency = 1'000'000;
    grant.m_queue_limit = 1'000'000;
    grant.m_queue_deadline = seconds(3);
    grant.m_run_limit = seconds(5);
    terms.m_services = {grant};
    terms.m_hosts = {{pool_id("p"), 2, 40'000}};
    return terms;
}

std::string make_record(const std::string& customer, int change)
{
    contract_record record;
    record.m_terms = make_terms(customer, "s");
    record.m_operation = operation_id("op" + std::to_string(change));
    record.m_operator = "anna";
    return format_contract_record(record);
}

config_table make_table(std::int64_t contracts)
{
    config_table table(validate_record);
    for (std::int64_t i = 0; i < contracts; ++i) {
        const std::string customer = "c" + std::to_string(i);
        table.merge(
            {contract_key(customer_id(customer)), revision(i + 1), make_record(customer, 0)});
    }
    return table;
}

fleet_view make_fleet(std::int64_t hosts, std::int64_t pools)
{
    fleet_view fleet;
    for (std::int64_t i = 0; i < hosts; ++i) {
        fleet_host host;
        host.m_id = worker_id("w" + std::to_string(i));
        host.m_rack = rack_id("r" + std::to_string(i / 20));
        host.m_zone = zone_id("z" + std::to_string(i / 20 % 8));
        host.m_pool = pool_id("p" + std::to_string(i % pools));
        fleet.m_reports[host.m_id].m_up = true;
        fleet.m_hosts[host.m_id] = host;
    }
    for (std::int64_t i = 0; i < pools; ++i) {
        pool_budget& budget = fleet.m_budgets[pool_id("p" + std::to_string(i))];
        budget.m_min = static_cast<std::uint32_t>(hosts / pools * 8 / 10);
        budget.m_max = static_cast<std::uint32_t>(hosts);
        budget.m_survives = survivable_failure::rack;
    }
    return fleet;
}

/// One request through the owner's queue: ask, grant, release. By customers that wait.
void bench_slot_request(benchmark::State& state)
{
    slot_broker broker;
    broker.m_service = service_id("s");
    for (int i = 0; i < 12; ++i) {
        endpoint_listing listing;
        listing.m_id = endpoint_id("e" + std::to_string(i));
        listing.m_zone = zone_id("z" + std::to_string(i % 3));
        listing.m_address = "127.0.0.1:1";
        listing.m_slots = 8;
        broker.m_endpoints[listing.m_id].m_listing = listing;
    }
    std::map<customer_id, contract> contracts;
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        const std::string name = "c" + std::to_string(i);
        contracts[customer_id(name)] = make_terms(name, "s");
    }
    const contract_lookup lookup = [&contracts](const customer_id& customer) {
        return &contracts.at(customer);
    };
    time_point now{seconds(100)};
    broker_output out;
    std::uint64_t sequence = 1;
    slot_ask_message ask;
    ask.m_service = broker.m_service;
    ask.m_zone = zone_id("z1");
    ask.m_remaining_us = 1'000'000'000;
    for (std::int64_t i = 0; i < state.range(0) + 96; ++i) {
        ask.m_request = {1, sequence++};
        ask.m_customer = customer_id("c" + std::to_string(i % state.range(0)));
        on_slot_ask(broker, host_id("h"), ask, lookup, now, out);
    }
    std::vector<request_id> granted;
    for (auto _ : state) {
        for (const auto& [host, message] : out.m_sends) {
            if (const auto* grant = std::get_if<slot_grant_message>(&message)) {
                granted.push_back(grant->m_request);
            }
        }
        out.m_sends.clear();
        now += microseconds(10);
        ask.m_request = {1, sequence++};
        on_slot_ask(broker, host_id("h"), ask, lookup, now, out);
        slot_release_message release;
        release.m_request = granted.back();
        release.m_service = broker.m_service;
        release.m_outcome = slot_outcome::answered;
        granted.pop_back();
        on_slot_release(broker, release, lookup, now, out);
    }
    state.SetItemsProcessed(static_cast<std::int64_t>(state.iterations()));
}
BENCHMARK(bench_slot_request)->Arg(1)->Arg(20)->Arg(220)->Arg(1000);

/// Taking one changed contract into a table and building the view from it. By contracts.
void bench_contract_change(benchmark::State& state)
{
    config_table table = make_table(state.range(0));
    check(table.size() == static_cast<std::size_t>(state.range(0)), "every contract is sound");
    std::int64_t number = state.range(0) + 1;
    config_view_ptr view = make_config_view(table);
    for (auto _ : state) {
        table.merge({"contract/c0", revision(number), make_record("c0", static_cast<int>(number))});
        view = make_config_view(table, view.get());
        ++number;
    }
}
BENCHMARK(bench_contract_change)->Arg(22)->Arg(220)->Arg(2200)->Unit(benchmark::kMicrosecond);

/// Taking one changed endpoint listing into a table. By records.
void bench_record_merge(benchmark::State& state)
{
    config_table table(validate_record);
    endpoint_listing listing;
    listing.m_address = "10.0.0.1:80";
    listing.m_slots = 8;
    const std::string value = format_endpoint(listing);
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        table.merge({"endpoint/s/e" + std::to_string(i), revision(i + 1), value});
    }
    check(table.size() == static_cast<std::size_t>(state.range(0)), "every listing is sound");
    std::int64_t number = state.range(0) + 1;
    for (auto _ : state) {
        table.merge(
            {"endpoint/s/e" + std::to_string(number % state.range(0)), revision(number), value});
        ++number;
    }
}
BENCHMARK(bench_record_merge)->Arg(50)->Arg(1000)->Arg(23000)->Unit(benchmark::kMicrosecond);

/// Deciding the next change of a wave. By hosts, in 24 pools.
void bench_wave_plan(benchmark::State& state)
{
    const fleet_view fleet = make_fleet(state.range(0), state.range(0) < 1000 ? 3 : 24);
    wave_record wave;
    wave.m_number = wave_number(1);
    for (auto _ : state) {
        benchmark::DoNotOptimize(plan_change(fleet, &wave, wall_time(seconds(1))));
    }
}
BENCHMARK(bench_wave_plan)
    ->Arg(50)
    ->Arg(1000)
    ->Arg(5000)
    ->Arg(23000)
    ->Unit(benchmark::kMicrosecond);

/// Starting and ending one task on a busy fleet. By workers.
void bench_task_placement(benchmark::State& state)
{
    task_board board;
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        add_or_update_worker(board, worker_id("w" + std::to_string(i)),
                             pool_id("p" + std::to_string(i % 24)), {64'000, 256'000, 0}, true);
    }
    board.m_quotas[customer_id("a")] = {10'000'000, 1'000'000'000'000, 1'000'000'000'000, 0};
    const time_point now{seconds(100)};
    std::vector<task_order> orders;
    std::uint64_t number = 0;
    for (auto _ : state) {
        task wanted;
        wanted.m_id = task_id("t" + std::to_string(number));
        wanted.m_customer = customer_id("a");
        wanted.m_kind = "k";
        wanted.m_pool = pool_id("p" + std::to_string(number % 24));
        wanted.m_declared = {2000, 4000, 0};
        submit_task(board, wanted, now);
        place_tasks(board, now, orders);
        on_task_started(board, wanted.m_id, 1, orders);
        on_task_done(board, wanted.m_id, 1, {1000, 1000, 0}, now);
        board.m_tasks.erase(wanted.m_id);
        orders.clear();
        ++number;
    }
}
BENCHMARK(bench_task_placement)->Arg(50)->Arg(1000)->Arg(23000)->Unit(benchmark::kMicrosecond);

/// Recording one length of time.
void bench_histogram_record(benchmark::State& state)
{
    latency_histogram histogram;
    std::int64_t length = 1;
    for (auto _ : state) {
        histogram.record(duration(length));
        length = length % 1'000'000 + 37;
    }
}
BENCHMARK(bench_histogram_record);

/// Encoding and decoding one packet with one ask.
void bench_codec(benchmark::State& state)
{
    const peer_key key{1, "benchmark-shared-secret"};
    peer_packet packet;
    packet.m_sender = host_id("h1");
    slot_ask_message ask;
    ask.m_service = service_id("convert");
    ask.m_customer = customer_id("registrars");
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        packet.m_messages.emplace_back(ask);
    }
    for (auto _ : state) {
        const std::string bytes = encode_packet(packet, key);
        benchmark::DoNotOptimize(decode_packet(bytes, {key}));
    }
    state.counters["bytes"] = static_cast<double>(encode_packet(packet, key).size());
}
BENCHMARK(bench_codec)->Arg(1)->Arg(8)->Arg(32);

/// Encoding and decoding one heartbeat. By entry hosts.
void bench_heartbeat(benchmark::State& state)
{
    const peer_key key{1, "benchmark-shared-secret"};
    heartbeat_message heartbeat;
    heartbeat.m_self.m_host = host_id("entry-host-1");
    heartbeat.m_self.m_peer_address = "10.0.0.1:7003";
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        heartbeat.m_counts.push_back({static_cast<std::uint32_t>(i), 1});
    }
    peer_packet packet;
    packet.m_sender = host_id("entry-host-1");
    packet.m_messages.emplace_back(heartbeat);
    for (auto _ : state) {
        const std::string bytes = encode_packet(packet, key);
        benchmark::DoNotOptimize(decode_packet(bytes, {key}));
    }
    state.counters["bytes"] = static_cast<double>(encode_packet(packet, key).size());
}
BENCHMARK(bench_heartbeat)->Arg(9)->Arg(64)->Arg(256);

} // namespace

BENCHMARK_MAIN();
