#include <catch2/catch.hpp>

#include "app/histogram_view.h"
#include "metrics/request_metrics.h"

using namespace guavabay;

TEST_CASE("histograms of several hosts are added up and drawn")
{
    request_metrics first;
    request_metrics second;
    for (int i = 0; i < 90; ++i) {
        first.record({customer_id("a"),
                      service_class::interactive,
                      endpoint_id("e1"),
                      milliseconds(1),
                      milliseconds(2),
                      milliseconds(3),
                      0,
                      {}});
    }
    for (int i = 0; i < 10; ++i) {
        second.record({customer_id("a"),
                       service_class::interactive,
                       endpoint_id("e1"),
                       milliseconds(1),
                       milliseconds(2),
                       milliseconds(900),
                       0,
                       {}});
    }
    histogram_sum sum;
    REQUIRE(sum.add(first.to_json()));
    REQUIRE(sum.add(second.to_json()));
    const std::string text = sum.describe();
    INFO(text);
    CHECK(text.find("a interactive: 100 requests, p50 3.") != std::string::npos);
    CHECK(text.find(" 90 " + std::string(40, '#') + "\n") != std::string::npos);
    CHECK(text.find(" 10 ####\n") != std::string::npos);
    CHECK_FALSE(sum.add("<html>"));
}

TEST_CASE("the share of counts decides on a quantile")
{
    const histogram_bins bins{{0.001, 50}, {0.01, 49}, {0.1, 1}};
    CHECK(quantile_of(bins, 0.5) == 0.001);
    CHECK(quantile_of(bins, 0.99) == 0.01);
    CHECK(quantile_of(bins, 1) == 0.1);
    CHECK(quantile_of({}, 0.5) == 0);
}
