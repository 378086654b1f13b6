#include <catch2/catch.hpp>
#include <random>

#include "core/result.h"
#include "peer/codec.h"

using namespace guavabay;

namespace {

const peer_key key_one{1, "first-shared-secret"};
const peer_key key_two{2, "second-shared-secret"};

peer_packet make_packet()
{
    peer_packet packet;
    packet.m_sender = host_id("h1");
    packet.m_incarnation = incarnation(77);
    slot_ask_message ask;
    ask.m_request = {5, 6};
    ask.m_service = service_id("convert");
    ask.m_excluded = {endpoint_id("e1")};
    packet.m_messages.emplace_back(ask);
    packet.m_messages.emplace_back(record_message{{{"contract/a", revision(9), "{}"}}, true});
    packet.m_messages.emplace_back(
        key_verdict_message{{1, 2}, epoch(3), error_kind::duplicate_done, 200});
    return packet;
}

} // namespace

TEST_CASE("a packet is read back as it was written")
{
    const std::string bytes = encode_packet(make_packet(), key_one);
    const auto packet = decode_packet(bytes, {key_two, key_one});
    REQUIRE(packet);
    CHECK(packet->m_sender == host_id("h1"));
    REQUIRE(packet->m_messages.size() == 3);
    const auto& ask = std::get<slot_ask_message>(packet->m_messages[0]);
    CHECK(ask.m_request == request_id{5, 6});
    CHECK(ask.m_excluded.size() == 1);
    const auto& verdict = std::get<key_verdict_message>(packet->m_messages[2]);
    CHECK(verdict.m_kind == error_kind::duplicate_done);
}

TEST_CASE("packets of strangers and of other versions are refused with a reason")
{
    const std::string bytes = encode_packet(make_packet(), key_one);
    CHECK_FALSE(decode_packet(bytes, {key_two}));
    CHECK(last_reason() == "key 1 is not known");
    CHECK_FALSE(decode_packet(bytes, {{1, "some-other-secret"}}));
    CHECK(last_reason() == "wrong signature");
    std::string other_version = bytes;
    other_version[2] = 9;
    CHECK_FALSE(decode_packet(other_version, {key_one}));
    CHECK_FALSE(decode_packet("GET / HTTP/1.1", {key_one}));
}

TEST_CASE("any changed byte of a packet is noticed")
{
    const std::string bytes = encode_packet(make_packet(), key_one);
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        std::string changed = bytes;
        changed[i] = static_cast<char>(changed[i] ^ 0x20);
        REQUIRE_FALSE(decode_packet(changed, {key_one}));
    }
}

TEST_CASE("seeded malformed bodies under a valid signature never break the decoder")
{
    std::mt19937_64 random(1204);
    const std::string body = encode_packet(make_packet(), key_one).substr(20);
    for (int round = 0; round < 20000; ++round) {
        std::string text = body;
        for (int i = 0; i < 4; ++i) {
            text[random() % text.size()] = static_cast<char>(random() % 256);
        }
        text.resize(random() % (text.size() + 1));
        const auto packet = decode_packet_body(text);
        REQUIRE((packet || !last_reason().empty()));
    }
}
