#include <catch2/catch.hpp>

#include "contract/digest.h"
#include "contract/organisation.h"
#include "dispatch/operator_config.h"
#include "platform/operator_records.h"

namespace guavabay {

namespace {

constexpr const char* config_text =
    R"({"version":1,"routes":[)"
    R"({"name":"open","host":"h","prefix":"/open/","service":"s","public":true},)"
    R"({"name":"keyed","host":"h","prefix":"/keyed/","service":"s","public":false}],)"
    R"("services":[{"name":"s"}],)"
    R"("tenants":[{"name":"a","api-keys":["key-1","key-2"],"weight":4,)"
    R"("cap":{"cpu":8000,"mem-mb":0,"gpu":0}},{"name":"b","api-keys":["key-3"]}]})";

std::optional<organisation_id> authorize_request(const operator_config& config, const char* path,
                                                 const char* authorization)
{
    return authorize(config, *find_route(config, "h", path), authorization);
}

} // namespace

// Guards against requests that run without a valid key, and against valid ones that are refused.
TEST_CASE("a request belongs to the organisation of its key", "[organisation]")
{
    const auto config = platform::decode_config(config_text);
    REQUIRE(config);
    CHECK(authorize_request(*config, "/keyed/1", "Bearer key-1") == organisation_id("a"));
    CHECK(authorize_request(*config, "/keyed/1", "bearer  key-2") == organisation_id("a"));
    CHECK(authorize_request(*config, "/keyed/1", "Bearer key-3") == organisation_id("b"));
    for (const char* bad : {"", "key-1", "Bearer", "Bearer ", "Basic key-1", "Bearer key-10",
                            "Bearer key-1 ", "Bearer KEY-1"}) {
        CAPTURE(bad);
        CHECK_FALSE(authorize_request(*config, "/keyed/1", bad));
    }
    CHECK(authorize_request(*config, "/open/1", "") == organisation_id());
    CHECK(authorize_request(*config, "/open/1", "Bearer key-1") == organisation_id());
}

// Guards against a deployment without organisations that asks its callers for keys.
TEST_CASE("without organisations no key is required", "[organisation]")
{
    const auto config = platform::decode_config(
        R"({"routes":[{"name":"q","host":"h","prefix":"/q/","service":"s"}],)"
        R"("services":[{"name":"s"}],"tenants":[]})");
    REQUIRE(config);
    CHECK(authorize_request(*config, "/q/1", "") == organisation_id());
}

// Guards against a cap of zero that stops an organisation, and against weights below one.
TEST_CASE("absent and zero terms of an organisation are unlimited", "[organisation]")
{
    const auto config = platform::decode_config(config_text);
    REQUIRE(config);
    const organisation_terms& a = config->m_organisations.all().at(organisation_id("a")).m_terms;
    CHECK(a.m_weight == 4);
    CHECK(a.m_cap == resources{8000, unlimited_amount, unlimited_amount});
    const organisation_terms& b = config->m_organisations.all().at(organisation_id("b")).m_terms;
    CHECK(b == organisation_terms());
}

// Guards against a key that changes its organisation because another one lists it too.
TEST_CASE("a key of two organisations stays with the first", "[organisation]")
{
    organisation_directory directory;
    directory.add({organisation_id("a"), {digest_of("k")}, {}});
    directory.add({organisation_id("b"), {digest_of("k")}, {}});
    REQUIRE(directory.find_by_key("k") != nullptr);
    CHECK(directory.find_by_key("k")->m_id == organisation_id("a"));
}

} // namespace guavabay
