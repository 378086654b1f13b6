#include <catch2/catch.hpp>
#include <set>

#include "dispatch/config_fetch.h"

using namespace guavabay;

namespace {

constexpr time_point start{seconds(100)};

/// A table of peers that were all heard at the start, with the same configuration revision.
peer_table make_peers(int count, std::int64_t config_revision)
{
    peer_table table;
    for (int i = 0; i < count; ++i) {
        table.m_peers["10.0.0." + std::to_string(i) + ":70"] = {start, true, config_revision};
    }
    return table;
}

} // namespace

TEST_CASE("a host with the newest configuration asks no peer", "[config_fetch]")
{
    config_fetch fetch;
    const peer_table table = make_peers(5, 7);
    CHECK_FALSE(select_config_source(fetch, table, 7, start, start));
    CHECK_FALSE(select_config_source(fetch, table, 8, start, start + milliseconds(1000)));
    CHECK_FALSE(select_config_source(fetch, peer_table(), 0, start, start + milliseconds(1000)));
}

// Guards against fetches beside a store that delivers: they add load exactly when changes come
// fast.
TEST_CASE("a host that receives versions from the store asks no peer", "[config_fetch]")
{
    config_fetch fetch;
    for (int i = 0; i < 40; ++i) {
        const time_point now = start + i * milliseconds(300);
        peer_table table = make_peers(5, 8 + i);
        for (auto& [address, peer] : table.m_peers) {
            peer.m_last_heard_at = now;
        }
        CHECK_FALSE(select_config_source(fetch, table, 7 + i, start, now));
    }
}

TEST_CASE("a host to which the store is sending an answer asks no peer", "[config_fetch]")
{
    config_fetch fetch;
    const peer_table table = make_peers(5, 8);
    CHECK_FALSE(select_config_source(fetch, table, 7, start, start));
    const time_point now = start + milliseconds(1500);
    CHECK_FALSE(select_config_source(fetch, table, 7, now - milliseconds(100), now));
    CHECK(select_config_source(fetch, table, 7, now - milliseconds(800), now));
}

TEST_CASE("a host that receives nothing asks one peer at a time", "[config_fetch]")
{
    config_fetch fetch;
    peer_table table = make_peers(5, 8);
    table.m_peers["10.0.0.9:70"] = {start, true, 7};
    CHECK_FALSE(select_config_source(fetch, table, 7, start, start));
    const time_point due = start + milliseconds(800);
    std::set<std::string> sources;
    for (int i = 0; i < 5; ++i) {
        const auto source = select_config_source(fetch, table, 7, start, due);
        REQUIRE(source);
        CHECK(*source != "10.0.0.9:70");
        sources.insert(*source);
        CHECK_FALSE(select_config_source(fetch, table, 7, start, due));
        fetch.m_in_progress = false;
    }
    CHECK(sources.size() == 5);
}

TEST_CASE("a peer that fell silent is no source", "[config_fetch]")
{
    config_fetch fetch;
    const peer_table table = make_peers(5, 8);
    CHECK_FALSE(select_config_source(fetch, table, 7, start, start));
    CHECK_FALSE(select_config_source(fetch, table, 7, start, start + seconds(2)));
}
