#include <catch2/catch.hpp>

#include "dispatch/key_revocation.h"

using namespace guavabay;

namespace {

constexpr time_point start{seconds(100)};
constexpr revocation_rule strict{true, milliseconds(5000)};
constexpr revocation_rule lenient{false, milliseconds(5000)};

peer_table make_peers(std::optional<time_point> first, std::optional<time_point> second)
{
    peer_table table;
    table.m_peers["10.0.0.1:70"].m_last_heard_at = first;
    table.m_peers["10.0.0.2:70"].m_last_heard_at = second;
    return table;
}

queue_route make_route()
{
    queue_route route;
    route.m_contract.m_queue = queue_id("queue-a");
    return route;
}

} // namespace

// Guards against a host that is cut off and goes on with a key that was withdrawn meanwhile.
TEST_CASE("a strict host refuses keys once it was cut off for the time allowed", "[organisation]")
{
    CHECK_FALSE(refuses_keys(strict, start, start));
    CHECK_FALSE(refuses_keys(strict, start, start + milliseconds(4999)));
    CHECK(refuses_keys(strict, start, start + milliseconds(5000)));
    CHECK(refuses_keys(strict, time_point{}, start));
    CHECK_FALSE(refuses_keys(strict, start + seconds(60), start + seconds(61)));
}

// Guards against an outage of the store that stops hosts which are not to stop.
TEST_CASE("a host that is not strict goes on with the keys that it knows", "[organisation]")
{
    CHECK_FALSE(refuses_keys(lenient, start, start + seconds(3600)));
    CHECK_FALSE(refuses_keys(lenient, time_point{}, start));
}

// Guards against a host that counts as cut off although one peer still reaches it.
TEST_CASE("the last contact is the newest of the store and all peers", "[organisation]")
{
    CHECK(last_contact(start, peer_table()) == start);
    CHECK(last_contact({}, make_peers({}, {})) == time_point{});
    CHECK(last_contact(start, make_peers(start + seconds(3), start + seconds(1))) ==
          start + seconds(3));
    CHECK(last_contact(start + seconds(5), make_peers(start, {})) == start + seconds(5));
}

// Guards against keys in the log, and against a line for each request of a caller that repeats.
TEST_CASE("a refused key is logged once by its digest", "[organisation]")
{
    refused_key_log log;
    const std::string line =
        describe_refused_key(make_route(), "Bearer abc", "unknown", 7, log, start);
    // SHA-256 of "abc" begins with ba7816bf8f01cfea.
    CHECK(line ==
          "dispatch: key refused queue=queue-a key_digest=ba7816bf8f01 config=7 reason=unknown");
    CHECK(describe_refused_key(make_route(), "Bearer abc", "unknown", 7, log, start).empty());
    CHECK_FALSE(describe_refused_key(make_route(), "Bearer abc", "unknown", 8, log, start).empty());
    const std::string missing = describe_refused_key(make_route(), "", "missing", 7, log, start);
    CHECK(missing.find("key_digest=none") != std::string::npos);
}

// Guards against a log that callers fill by trying keys.
TEST_CASE("lines about refused keys are bounded in each second", "[organisation]")
{
    refused_key_log log;
    const auto count_lines = [&log](time_point now, int first) {
        int lines = 0;
        for (int i = first; i < first + 1000; ++i) {
            const std::string key = "Bearer key-" + std::to_string(i);
            lines +=
                describe_refused_key(make_route(), key, "unknown", 7, log, now).empty() ? 0 : 1;
        }
        return lines;
    };
    constexpr int max_lines_per_second = 8;
    CHECK(count_lines(start, 0) == max_lines_per_second);
    CHECK(count_lines(start + milliseconds(999), 1000) == 0);
    CHECK(count_lines(start + milliseconds(1000), 2000) == max_lines_per_second);
}
