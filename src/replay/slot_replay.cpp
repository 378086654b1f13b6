#include "replay/slot_replay.h"

#include <random>

#include "core/json_fields.h"
#include "core/result.h"
#include "replay/slot_policies.h"

namespace guavabay {

namespace json = boost::json;

namespace {

void add_arrivals(slot_scene& scene, const trace_event& event, std::mt19937_64& random)
{
    const double rate = real_field(event.m_fields, "per_second", 1);
    const double length = real_field(event.m_fields, "for_ms", 1000) / 1000;
    const double mean_run = real_field(event.m_fields, "run_us", 10'000);
    std::exponential_distribution<double> gap(rate);
    std::exponential_distribution<double> run(1 / mean_run);
    double at = gap(random);
    while (at < length) {
        replay_request one;
        one.m_at = event.m_at + duration(static_cast<std::int64_t>(at * 1e6));
        one.m_customer = customer_id(text_field(event.m_fields, "customer"));
        one.m_run = duration(1 + static_cast<std::int64_t>(run(random)));
        one.m_entry = random() % scene.m_entries;
        scene.m_requests.push_back(one);
        at += gap(random);
    }
}

void add_customer(slot_scene& scene, const trace_event& event)
{
    contract terms;
    terms.m_customer = customer_id(text_field(event.m_fields, "name"));
    terms.m_weight = static_cast<std::uint32_t>(real_field(event.m_fields, "weight", 1));
    service_grant grant;
    grant.m_name = service_id("s");
    const bool batch = text_field(event.m_fields, "class") == "batch";
    grant.m_class = batch ? service_class::batch : service_class::interactive;
    grant.m_rate_per_second = 1e6;
    grant.m_burst = 1'000'000;
    grant.m_concurrency =
        static_cast<std::uint32_t>(real_field(event.m_fields, "concurrency", 1'000'000));
    grant.m_queue_limit = 1'000'000;
    terms.m_services.push_back(grant);
    scene.m_contracts[terms.m_customer] = terms;
}

std::optional<slot_scene> read_scene(const trace& recorded)
{
    slot_scene scene;
    std::mt19937_64 random;
    for (const trace_event& event : recorded.m_events) {
        if (event.m_kind == "slots") {
            scene.m_entries = static_cast<std::size_t>(real_field(event.m_fields, "entries", 9));
            scene.m_network = duration(number_field(event.m_fields, "network_us"));
            scene.m_seed = static_cast<std::uint64_t>(number_field(event.m_fields, "seed"));
            random.seed(scene.m_seed);
            const json::value* names = event.m_fields.if_contains("policies");
            if (names == nullptr || !names->is_array() || scene.m_entries == 0) {
                return fail("the event slots names no policies or no entry hosts");
            }
            for (const json::value& name : names->get_array()) {
                scene.m_policies.emplace_back(name.as_string().c_str());
            }
        }
        else if (event.m_kind == "endpoint") {
            endpoint_listing listing;
            listing.m_id = endpoint_id(text_field(event.m_fields, "name"));
            listing.m_zone = zone_id(text_field(event.m_fields, "zone"));
            listing.m_slots = static_cast<std::uint32_t>(number_field(event.m_fields, "slots"));
            scene.m_endpoints.push_back(listing);
        }
        else if (event.m_kind == "customer") {
            add_customer(scene, event);
        }
        else if (event.m_kind == "arrivals") {
            add_arrivals(scene, event, random);
        }
        else {
            return fail("unknown event " + event.m_kind);
        }
    }
    for (const replay_request& one : scene.m_requests) {
        if (!scene.m_contracts.contains(one.m_customer)) {
            return fail("no customer " + one.m_customer.str());
        }
    }
    return scene;
}

} // namespace

std::optional<measures> replay_slots(const trace& recorded)
{
    const std::optional<slot_scene> scene = read_scene(recorded);
    if (!scene) {
        return std::nullopt;
    }
    measures measured;
    for (const std::string& policy : scene->m_policies) {
        if (!play_policy(policy, *scene, measured)) {
            return std::nullopt;
        }
    }
    return measured;
}

} // namespace guavabay
