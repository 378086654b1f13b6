#include <catch2/catch.hpp>

#include "contract/contract_parser.h"
#include "contract/digest.h"
#include "core/result.h"
#include "support/virtual_hosts.h"

using namespace guavabay;
using guavabay::test::make_contract;

namespace {

/// All faults of a text, joined.
std::string faults_of(const std::string& text)
{
    std::vector<contract_fault> faults;
    parse_contract(text, faults);
    return describe(faults);
}

} // namespace

TEST_CASE("a contract that was written reads back to the same text")
{
    std::vector<contract_fault> faults;
    const auto terms = parse_contract(
        make_contract("parish", "convert", R"({"ends":"2027-03-01T10:00:00.250Z","weight":7})"),
        faults);
    REQUIRE(terms);
    const std::string text = format_contract(*terms);
    const auto again = parse_contract(text, faults);
    REQUIRE(again);
    CHECK(format_contract(*again) == text);
    CHECK(again->m_weight == 7);
    CHECK(format_wall_time(*again->m_ends) == "2027-03-01T10:00:00.250Z");
}

TEST_CASE("each fault of a contract is named by its pointer and reason")
{
    CHECK_FALSE(faults_of("{").empty());
    CHECK(faults_of("[]") == "/: must be an object");
    const std::string faults =
        faults_of(R"({"customer":"a b","keys_sha256":["xy"],"begins":"yesterday","weight":0,
                      "colour":1,"services":[{"name":"s","class":"fast","rate_per_second":-1,
                      "burst":1,"concurrency":0,"queue_deadline_ms":1},7]})");
    CHECK(faults.find("/colour: unknown field") != std::string::npos);
    CHECK(faults.find("/customer: must be 1 to 64 letters") != std::string::npos);
    CHECK(faults.find("/keys_sha256/0: must be 64 hexadecimal digits") != std::string::npos);
    CHECK(faults.find("/begins: must be a time") != std::string::npos);
    CHECK(faults.find("/weight: must be a whole number from 1 to 1000") != std::string::npos);
    CHECK(faults.find("/services/0/class: must be one of: interactive, batch") !=
          std::string::npos);
    CHECK(faults.find("/services/0/rate_per_second: must be a number above 0") !=
          std::string::npos);
    CHECK(faults.find("/services/0/concurrency: must be a whole number") != std::string::npos);
    CHECK(faults.find("/services/1: must be an object") != std::string::npos);
}

TEST_CASE("a contract must not name a service twice or end before it begins")
{
    std::string text = make_contract("a", "s", R"({"ends":"2020-01-01T00:00:00Z"})");
    CHECK(faults_of(text).find("/ends: must not be before begins") != std::string::npos);
}

TEST_CASE("seeded changes to a contract's bytes never break the parser")
{
    const std::string sound = make_contract("a", "s");
    std::mt19937_64 random(20261204);
    for (int round = 0; round < 5000; ++round) {
        std::string text = sound;
        for (int i = 0; i < 3; ++i) {
            text[random() % text.size()] = static_cast<char>(random() % 256);
        }
        text.resize(text.size() - random() % 10);
        std::vector<contract_fault> faults;
        const auto terms = parse_contract(text, faults);
        REQUIRE(terms.has_value() == faults.empty());
    }
}

TEST_CASE("digests are read, written and compared")
{
    const key_digest digest = digest_of("secret");
    CHECK(parse_digest(format_digest(digest)) == digest);
    CHECK_FALSE(parse_digest("12"));
    CHECK_FALSE(parse_digest(std::string(64, 'g')));
    CHECK(equal_in_constant_time(digest, digest_of("secret")));
    CHECK_FALSE(equal_in_constant_time(digest, digest_of("Secret")));
}

TEST_CASE("malformed times are refused")
{
    CHECK(parse_wall_time("2026-02-28T23:59:59Z"));
    for (const char* text : {"2026-02-30T00:00:00Z", "2026-01-01", "2026-01-01T24:00:00Z",
                             "2026-01-01T00:00:00Zx", ""}) {
        CHECK_FALSE(parse_wall_time(text));
    }
}
