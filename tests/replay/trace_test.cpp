#include <catch2/catch.hpp>
#include <random>
#include <sstream>

#include "core/result.h"
#include "replay/trace.h"

using namespace guavabay;

TEST_CASE("a trace that is malformed is refused with its line")
{
    std::istringstream no_json("{\"event\":\"fleet\"}\nnonsense\n");
    CHECK_FALSE(read_trace(no_json));
    CHECK(last_reason() == "line 2: not a JSON object");
    std::istringstream no_bound(R"({"outcome":"violations"})");
    CHECK_FALSE(read_trace(no_bound));
    CHECK(last_reason() == "line 1: the outcome has no bound");
    std::istringstream no_subject(R"({"event":"pool"})");
    CHECK_FALSE(replay(*read_trace(no_subject)));
}

TEST_CASE("an outcome that was not measured or lies beyond its bound does not hold")
{
    std::istringstream text(R"({"outcome":"a","at_most":1}
{"outcome":"a","at_least":3}
{"outcome":"b","at_most":1}
{"outcome":"a","over":"c","at_most":1})");
    const auto recorded = read_trace(text);
    REQUIRE(recorded);
    const auto results = judge(*recorded, {{"a", 2}, {"c", 4}});
    REQUIRE(results.size() == 4);
    CHECK_FALSE(results[0].m_holds);
    CHECK_FALSE(results[1].m_holds);
    CHECK_FALSE(results[2].m_holds);
    CHECK(results[3].m_holds);
}

TEST_CASE("a replay gives the same measures each time")
{
    const std::string text =
        R"({"event":"slots","policies":["owner","independent"],"entries":3,"network_us":500,"seed":5}
{"event":"endpoint","name":"e1","zone":"z1","slots":4}
{"event":"customer","name":"a"}
{"event":"arrivals","customer":"a","per_second":300,"for_ms":1000,"run_us":10000})";
    std::istringstream first(text);
    std::istringstream second(text);
    CHECK(*replay(*read_trace(first)) == *replay(*read_trace(second)));
}

TEST_CASE("seeded changes to a trace's bytes never break the reader")
{
    const std::string sound = "{\"at_ms\":5,\"event\":\"pool\",\"name\":\"p\",\"hosts\":3}\n"
                              "{\"outcome\":\"violations\",\"at_most\":0}\n";
    std::mt19937_64 random(99);
    for (int round = 0; round < 5000; ++round) {
        std::string text = sound;
        for (int i = 0; i < 3; ++i) {
            text[random() % text.size()] = static_cast<char>(random() % 256);
        }
        last_reason().clear();
        std::istringstream stream(text);
        const auto recorded = read_trace(stream);
        REQUIRE((recorded || !last_reason().empty()));
    }
}
