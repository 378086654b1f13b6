#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <limits>
#include <random>

#include "core/result.h"
#include "net/base64.h"
#include "platform/advice_calls.h"
#include "platform/caller_calls.h"
#include "platform/machine_calls.h"
#include "platform/operator_records.h"
#include "platform/store_calls.h"
#include "platform/worker_calls.h"

namespace guavabay::platform {

namespace {

http_answer answered(unsigned status, std::string body)
{
    return {call_progress::answered, status, std::move(body)};
}

store_item listing_item(std::string value)
{
    return {"servers/i-1", std::move(value), revision(1), revision(1), lease_id(), false};
}

constexpr const char* valid_listing =
    R"({"service":"s","address":"10.0.0.1:80","zone":"a","state":"ready","sequence":1,)"
    R"("born":5,"capacity":{"cpu":64000,"mem-mb":1000,"gpu":2},"labels":["k","r1"],)"
    R"("machine":"m-1","later-field":{"x":[1]}})";

constexpr const char* valid_submission =
    R"({"task-spec":"t","steps":[{"count":2,"cpu":1500,"mem-mb":64,"estimate-ms":900},)"
    R"({"after":[0],"long-running":true,"max-unavailable":1,"anti-affinity":2,)"
    R"("affinity":"r1","target-ms":30,"unknown":1}]})";

/// Changes, removes and inserts bytes at random places of a valid text.
std::string corrupt(std::string text, std::mt19937& random)
{
    const int changes = std::uniform_int_distribution<int>(1, 6)(random);
    for (int i = 0; i < changes && !text.empty(); ++i) {
        const auto at = std::uniform_int_distribution<std::size_t>(0, text.size() - 1)(random);
        switch (std::uniform_int_distribution<int>(0, 3)(random)) {
        case 0:
            text[at] = static_cast<char>(std::uniform_int_distribution<int>(0, 255)(random));
            break;
        case 1:
            text.erase(at, std::uniform_int_distribution<std::size_t>(1, 9)(random));
            break;
        case 2:
            text.insert(at, text.substr(at / 2, 7));
            break;
        default:
            text.resize(at);
            break;
        }
    }
    return text;
}

} // namespace

TEST_CASE("decodes a worker registration and rejects malformed ones", "[platform]")
{
    const auto listing = decode_listing(listing_item(valid_listing));
    REQUIRE(listing);
    CHECK(listing->m_id == worker_id("i-1"));
    CHECK(listing->m_machine == machine_id("m-1"));
    CHECK(listing->m_kind == "k");
    CHECK(listing->m_rack == rack_id("r1"));
    CHECK(listing->m_incarnation_start_ms == 5);
    CHECK(listing->m_capacity == resources{64000, 1000, 2});
    CHECK_FALSE(listing->m_draining);

    for (const char* bad :
         {"", "[]", "{}", "\xff\xfe", R"({"service":"s"})",
          R"({"service":5,"address":"x","state":"ready","capacity":{},"labels":[]})",
          R"({"service":"s","address":"x","state":"gone","capacity":{},"labels":[]})",
          R"({"service":"s","address":"x","state":"ready","capacity":3,"labels":[]})"}) {
        CAPTURE(bad);
        CHECK_FALSE(decode_listing(listing_item(bad)));
        CHECK_FALSE(last_reason().empty());
    }
}

TEST_CASE("decodes a submission and rejects malformed ones", "[platform]")
{
    const auto decoded = decode_submission(valid_submission);
    REQUIRE(decoded);
    REQUIRE(decoded->m_steps.size() == 2);
    CHECK(decoded->m_steps[0].m_task_count == 2);
    CHECK(decoded->m_steps[0].m_max_unavailable == -1);
    CHECK(decoded->m_steps[1].m_after == std::vector<std::uint32_t>{0});
    CHECK(decoded->m_steps[1].m_long_running);
    CHECK(decoded->m_steps[1].m_max_unavailable == 1);
    CHECK(decoded->m_steps[1].m_max_per_worker == 2);
    CHECK(decoded->m_steps[1].m_data_rack == "r1");
    CHECK(decoded->m_steps[1].m_tail_latency_target_ms == 30);

    const std::string long_spec =
        R"({"task-spec":")" + std::string(4001, 'x') + R"(","steps":[{"cpu":1}]})";
    for (const std::string& bad :
         {std::string(), std::string("{}"), std::string(R"({"steps":[]})"),
          std::string(R"({"steps":[5]})"), std::string(R"({"steps":[{"after":[0]}]})"),
          std::string(R"({"steps":[{"after":["a"]}]})"), std::string(R"({"steps":[{"count":-1}]})"),
          std::string(R"({"steps":[{"cpu":-5}]})"),
          std::string(R"({"steps":[{"cpu":1}],"repeat-count":-2})"), long_spec}) {
        CAPTURE(bad);
        CHECK_FALSE(decode_submission(bad));
        CHECK_FALSE(last_reason().empty());
    }
    CHECK(is_submission_id("5c0e7a21d94b36f8"));
    CHECK_FALSE(is_submission_id("5c0e7a21d94b36f"));
    CHECK_FALSE(is_submission_id("5c0e7a21d94b36fg"));
    CHECK(encode_submission_state(submission_state::canceled) == R"({"state":"canceled"})");
    CHECK(encode_pending_count(12) == R"({"pending-jobs":12})");
}

TEST_CASE("decodes the answer to a hold request and skips malformed rows", "[platform]")
{
    const auto [report, outcome] = decode_hold_answer(answered(
        200, R"({"clock-ms":48,"born":7,"running-tasks":[["5c.0.1.17",2,"00b",41,12.5],["x"],7],)"
             R"("finished":[[58,"5c.0.1.9",1,"done",""],[59,"5c.0.1.9",1,"melted",""]]})"));
    REQUIRE(report);
    CHECK(report->m_clock_ms == 48);
    CHECK(report->m_incarnation_start_ms == 7);
    REQUIRE(report->m_running.size() == 1);
    CHECK(report->m_running[0].m_percent == 41);
    CHECK(report->m_running[0].m_load == 12);
    REQUIRE(report->m_ended.size() == 1);
    CHECK(report->m_ended[0].m_number == 58);
    CHECK_FALSE(decode_hold_answer(answered(200, "{}")).first);
    CHECK(decode_hold_answer(answered(409, R"({"reason":"fence"})")).second ==
          order_outcome::refused_stale_token);
}

TEST_CASE("maps the answers of workers to order outcomes", "[platform]")
{
    const std::pair<http_answer, order_outcome> rows[] = {
        {answered(200, "{}"), order_outcome::accepted},
        {answered(409, R"({"reason":"old"})"), order_outcome::refused_stale_run},
        {answered(409, R"({"reason":"late"})"), order_outcome::refused_lease_ended},
        {answered(409, R"({"reason":"room"})"), order_outcome::refused_no_capacity},
        {answered(409, R"({"reason":"ticket"})"), order_outcome::refused_ticket},
        {answered(409, "x"), order_outcome::refused_no_capacity},
        {answered(400, ""), order_outcome::refused_invalid},
        {answered(421, ""), order_outcome::other_incarnation},
        {answered(503, ""), order_outcome::refused_busy},
        {answered(500, ""), order_outcome::unknown},
        {{call_progress::not_sent, 0, ""}, order_outcome::not_sent},
        {{call_progress::unknown, 0, ""}, order_outcome::unknown},
    };
    for (const auto& [answer, outcome] : rows) {
        CHECK(decode_order_answer(answer) == outcome);
    }
}

TEST_CASE("encodes an order with its fields", "[platform]")
{
    worker_order order;
    order.m_worker = worker_id("i-1");
    order.m_task = {submission_id("5c"), 0, 1, 17};
    order.m_run = run_number(2);
    order.m_spec = "text";
    order.m_deadline_ms = 486000;
    const http_call start = encode_order(order, fencing_token(7));
    CHECK(start.m_target == "/v1/run-start");
    CHECK(start.m_headers.at(0) ==
          std::pair<std::string, std::string>("Guavabay-Expect-Instance", "i-1"));
    const auto body = boost::json::parse(start.m_body).as_object();
    CHECK(body.at("task").as_string() == "5c.0.1.17");
    CHECK(body.at("fencing-token").as_int64() == 7);
    CHECK(body.at("deadline-ms").as_int64() == 486000);
    CHECK_FALSE(body.contains("last-checkpoint"));
    order.m_kind = worker_order::kind::stop;
    CHECK(encode_order(order, fencing_token(7)).m_target == "/v1/run-stop");
}

TEST_CASE("decodes the operator's configuration and finds routes in it", "[platform]")
{
    const auto config = decode_config(
        R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/p/","timeout-ms":3000,)"
        R"("target-duration-ms":600,"priority":1,"service":"s","max-attempts":3,)"
        R"("stretch-factor":1.6},{"name":"q","host":"h","prefix":"/p/long/","service":"s"}],)"
        R"("services":[{"name":"s","standby":true}],"limits":{"max-body-bytes":10}})");
    REQUIRE(config);
    CHECK(config->m_version == 7);
    CHECK(config->m_routes[0].m_contract.m_stretch_factor == 1.6);
    CHECK(config->m_routes[1].m_contract.m_max_attempts == 1);
    CHECK(config->m_pools[0].m_standby);
    CHECK(config->m_limits.m_max_body_bytes == 10);
    CHECK(find_route(*config, "h:80", "/p/long/x")->m_contract.m_queue == queue_id("q"));
    CHECK(find_route(*config, "h", "/p/x")->m_contract.m_queue == queue_id("r"));
    CHECK(find_route(*config, "other", "/p/x") == nullptr);
    CHECK(find_route(*config, "h", "/") == nullptr);
    for (const char* bad :
         {"", "[]", "{}", R"({"routes":[],"services":3})", R"({"routes":[{}],"services":[]})",
          R"({"routes":[3],"services":[]})", R"({"routes":[],"services":[3]})"}) {
        CAPTURE(bad);
        CHECK_FALSE(decode_config(bad));
    }
}

// Guards against decoding a fractional "duration-s" as zero, which makes every wave look late.
TEST_CASE("decodes an upkeep wave and its status record", "[platform]")
{
    const auto wave =
        decode_wave(R"({"wave":1,"machines":["m-1","m-2",5],"duration-s":26.5,"cap":9})");
    REQUIRE(wave);
    CHECK(wave->m_duration == milliseconds(26500));
    CHECK(wave->m_max_concurrent == 9);
    CHECK(wave->m_machines.size() == 2);
    CHECK_FALSE(decode_wave("{}"));
    CHECK_FALSE(decode_wave(R"({"wave":1,"machines":"m"})"));
    CHECK(decode_wave_succeeded(encode_wave_status(true)));
    CHECK_FALSE(decode_wave_succeeded(encode_wave_status(false)));
    CHECK_FALSE(decode_wave_succeeded("x"));
}

TEST_CASE("encodes and decodes store requests", "[platform]")
{
    CHECK(encode_range("a b/", "k&1", true).m_target ==
          "/v1/kv-range?prefix=a%20b/&after=k%261&stale-ok=1");
    const range_result range = decode_range(
        answered(200, R"({"items":[{"key":"k","value":")" + to_base64("text") +
                          R"(","revision":4,"created":3,"lease":9}],"has-more":true,"as-of":30})"));
    REQUIRE(range.m_ok);
    CHECK(range.m_items[0].m_value == "text");
    CHECK(range.m_items[0].m_created == revision(3));
    CHECK(range.m_more);
    CHECK(range.m_as_of == revision(30));
    CHECK(decode_watch(answered(410, "")).m_history_lost);
    const range_result events = decode_watch(
        answered(200, R"({"events":[{"key":"k","revision":5,"deleted":true}],"as-of":5})"));
    REQUIRE(events.m_ok);
    CHECK(events.m_items[0].m_removed);
    CHECK_FALSE(decode_range(answered(200, R"({"items":[{"key":"k","value":"%%%"}]})")).m_ok);
    CHECK_FALSE(decode_range(answered(503, "")).m_ok);

    CHECK(decode_commit(answered(200, R"({"revision":412})")).m_revision == revision(412));
    CHECK(decode_commit(answered(412, R"({"items":[]})")).m_outcome == commit_outcome::conflict);
    CHECK(decode_commit(answered(404, "")).m_outcome == commit_outcome::no_lease);
    CHECK(decode_commit(answered(429, "")).m_outcome == commit_outcome::refused);
    CHECK(decode_commit(answered(403, "")).m_outcome == commit_outcome::malformed);
    CHECK(decode_commit({call_progress::unknown, 0, ""}).m_outcome == commit_outcome::unknown);
    CHECK(decode_commit({call_progress::not_sent, 0, ""}).m_outcome == commit_outcome::refused);
    CHECK(decode_granted_lease(answered(200, R"({"lease":77,"ttl-ms":3000})"))->second ==
          milliseconds(3000));
    CHECK_FALSE(decode_granted_lease(answered(200, "{}")));
    CHECK(decode_lease_renewal(answered(404, "")) == lease_renewal_outcome::ended);
    CHECK(decode_lease_renewal(answered(503, "")) == lease_renewal_outcome::failed);
}

TEST_CASE("decodes the machine list and the answers to machine orders", "[platform]")
{
    const machine_page page = decode_machine_list(answered(
        200, R"({"machines":[{"machine":"m-1","pool":"p","state":"up","labels":["a","r1-2"],)"
             R"("capacity":{"cpu":16000},"id":"i-1"},{"machine":"m-2","state":"melted"},4],)"
             R"("next-page-token":null})"));
    REQUIRE(page.m_ok);
    REQUIRE(page.m_machines.size() == 1);
    CHECK(page.m_machines[0].m_rack == rack_id("r1-2"));
    CHECK(page.m_next_page_token.empty());
    CHECK_FALSE(decode_machine_list(answered(503, "")).m_ok);
    CHECK(decode_machine_answer(answered(409, R"({"reason":"fence"})")) ==
          machine_outcome::refused_stale_token);
    CHECK(decode_machine_answer(answered(409, R"({"reason":"busy"})")) ==
          machine_outcome::refused_busy);
    CHECK(decode_machine_answer(answered(429, "")) == machine_outcome::rate_limited);
    CHECK(decode_machine_answer(answered(503, "")) == machine_outcome::failed);
    CHECK(decode_machine_answer({call_progress::unknown, 0, ""}) == machine_outcome::unknown);
}

TEST_CASE("encodes an advice request and decodes the replies", "[platform]")
{
    const http_call call = encode_advice_request(
        {{submission_id("0123456789abcdef"), 2, 1, 0}, {worker_id("i-1"), worker_id("i-2")}});
    CHECK(call.m_method == "POST");
    CHECK(call.m_target == "/v1/advise");
    const boost::json::object body = boost::json::parse(call.m_body).as_object();
    CHECK(body.at("step") == "0123456789abcdef.2.1");
    CHECK(body.at("workers") == boost::json::array({"i-1", "i-2"}));

    const auto reply = decode_advice_reply(
        answered(200, R"({"good":[["i-2","t-9",1]],"validity-ms":3000,"later-field":{}})"));
    REQUIRE(reply);
    REQUIRE(reply->m_permitted.size() == 1);
    CHECK(reply->m_permitted.front().m_worker == worker_id("i-2"));
    CHECK(reply->m_permitted.front().m_ticket == "t-9");
    CHECK(reply->m_validity == milliseconds(3000));
    CHECK(decode_advice_reply(answered(200, R"({"good":[]})")));
    for (const auto& [status, text] :
         std::vector<std::pair<unsigned, std::string>>{{429, ""},
                                                       {200, ""},
                                                       {200, "[]"},
                                                       {200, "{}"},
                                                       {200, R"({"good":{}})"},
                                                       {200, R"({"good":[["i-1"]]})"},
                                                       {200, R"({"good":[["i-1",5]]})"},
                                                       {200, R"({"good":["i-1"]})"}}) {
        CAPTURE(status, text);
        CHECK_FALSE(decode_advice_reply(answered(status, text)));
        CHECK_FALSE(last_reason().empty());
    }
    CHECK_FALSE(decode_advice_reply({call_progress::unknown, 0, ""}));
}

TEST_CASE("corrupted input gives an error or a value and does not crash", "[platform]")
{
    std::mt19937 random(20261204);
    for (int i = 0; i < 3000; ++i) {
        decode_listing(listing_item(corrupt(valid_listing, random)));
        decode_submission(corrupt(valid_submission, random));
        decode_hold_answer(
            answered(200, corrupt(R"({"clock-ms":1,"running-tasks":[["5.0.1.1",2,"",4,1]],)"
                                  R"("finished":[[5,"5.0.1.9",1,"done",""]]})",
                                  random)));
        decode_config(corrupt(R"({"version":7,"routes":[{"name":"r","prefix":"/p/","service":"s",)"
                              R"("advice":{"validity-ms":1}}],"services":[{"name":"s"}]})",
                              random));
        decode_range(
            answered(200, corrupt(R"({"items":[{"key":"k","value":"YQ=="}],"as-of":1})", random)));
        decode_advice_reply(
            answered(200, corrupt(R"({"good":[["i-1","t"]],"validity-ms":3000})", random)));
        decode_machine_list(answered(
            200, corrupt(R"({"machines":[{"machine":"m","state":"up","labels":["a"]}]})", random)));
    }
    SUCCEED();
}

TEST_CASE("a submission's lists and numbers are brought into the ranges of the scheduler",
          "[platform]")
{
    const auto decoded = decode_submission(
        R"({"steps":[{"cpu":9000000000000000000,"estimate-ms":9000000000000000000},)"
        R"({"after":[0,0,0]}],"repeat-count":100000,"start-at-ms":9000000000000000000,)"
        R"("interval-ms":9000000000000000000})");
    REQUIRE(decoded.has_value());
    CHECK(decoded->m_steps[1].m_after == std::vector<std::uint32_t>{0});
    // Sums over all steps, tasks and occurrences are exact.
    constexpr std::int64_t most = std::numeric_limits<std::int64_t>::max();
    constexpr std::int64_t tasks = 2560000; ///< Of 256 steps.
    CHECK(decoded->m_steps[0].m_demand.m_cpu_millis <= most / tasks);
    CHECK(critical_path_length(*decoded).count() <= most / 256);
    CHECK(decoded->m_first_start_ms <= most / 2);
    CHECK(decoded->m_interval_ms <= most / 2 / decoded->m_repeat_count);
}

} // namespace guavabay::platform
