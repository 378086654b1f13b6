#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

#include "config/config_table.h"

using namespace guavabay;

namespace {

/// Accepts every value but the word bad.
std::string reject_bad(const std::string& /*key*/, const std::string& value)
{
    return value == "bad" ? "it is bad" : "";
}

} // namespace

TEST_CASE("whatever the order of arrival, the newest record of each key stays")
{
    std::vector<config_record> records;
    for (int key = 0; key < 20; ++key) {
        for (int version = 1; version <= 5; ++version) {
            records.push_back({"k" + std::to_string(key), revision(key * 10 + version),
                               "v" + std::to_string(version)});
        }
    }
    std::mt19937_64 random(7);
    config_digest expected{};
    for (int round = 0; round < 50; ++round) {
        std::shuffle(records.begin(), records.end(), random);
        config_table table(reject_bad);
        for (const config_record& record : records) {
            table.merge(record);
            table.merge(records[random() % records.size()]);
        }
        for (int key = 0; key < 20; ++key) {
            REQUIRE(table.find("k" + std::to_string(key))->m_value == "v5");
        }
        if (round == 0) {
            expected = table.digest();
        }
        REQUIRE(table.digest() == expected);
    }
}

TEST_CASE("a record that is older or equal changes nothing")
{
    config_table table(reject_bad);
    CHECK(table.merge({"k", revision(5), "new"}) == merge_outcome::applied);
    CHECK(table.merge({"k", revision(5), "other"}) == merge_outcome::known);
    CHECK(table.merge({"k", revision(4), "old"}) == merge_outcome::known);
    CHECK(table.find("k")->m_value == "new");
}

TEST_CASE("an unreadable record is kept out and the last good one stays in force")
{
    config_table table(reject_bad);
    table.merge({"k", revision(5), "good"});
    CHECK(table.merge({"k", revision(6), "bad"}) == merge_outcome::quarantined);
    CHECK(table.find("k")->m_value == "good");
    CHECK(table.quarantined().at("k").m_reason == "it is bad");
    CHECK(table.merge({"k", revision(7), "better"}) == merge_outcome::applied);
    CHECK(table.quarantined().empty());
}

TEST_CASE("a removal is remembered, so that an older record does not come back")
{
    config_table table(reject_bad);
    table.merge({"k", revision(5), "v"});
    table.merge({"k", revision(6), ""});
    CHECK(table.find("k") == nullptr);
    CHECK(table.merge({"k", revision(5), "v"}) == merge_outcome::known);
    CHECK(table.find("k") == nullptr);
}

TEST_CASE("two tables that differ find out which records differ")
{
    config_table left(reject_bad);
    config_table right(reject_bad);
    for (int key = 0; key < 100; ++key) {
        const config_record record{"k" + std::to_string(key), revision(key + 1), "v"};
        left.merge(record);
        right.merge(record);
    }
    CHECK(left.total_digest() == right.total_digest());
    CHECK(left.versions_where_differs(right.digest()).empty());
    left.merge({"k42", revision(500), "w"});
    CHECK(left.total_digest() != right.total_digest());
    const auto versions = left.versions_where_differs(right.digest());
    const bool listed = std::any_of(versions.begin(), versions.end(),
                                    [](const auto& v) { return v.m_key == "k42"; });
    CHECK(listed);
    CHECK(versions.size() < 20);
}
