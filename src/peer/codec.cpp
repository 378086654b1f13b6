#include "peer/codec.h"

#include <algorithm>
#include <array>
#include <cereal/types/array.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <cstring>
#include <map>
#include <memory>
#include <new>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>

#include "core/check.h"
#include "core/result.h"
#include "peer/bounded_archive.h"

namespace guavabay {

namespace {

constexpr std::string_view magic = "GB";
constexpr char protocol_version = 2;
constexpr std::size_t tag_bytes = 16;
constexpr std::size_t header_bytes = magic.size() + 2 + tag_bytes;

using tag = std::array<unsigned char, tag_bytes>;

struct mac_deleter {
    void operator()(EVP_MAC_CTX* context) const { EVP_MAC_CTX_free(context); }
};

using mac_context = std::unique_ptr<EVP_MAC_CTX, mac_deleter>;

/// Prepares HMAC-SHA256 with a secret.
mac_context make_mac(const std::string& secret)
{
    EVP_MAC* mac = EVP_MAC_fetch(nullptr, "HMAC", nullptr);
    mac_context context(EVP_MAC_CTX_new(mac));
    EVP_MAC_free(mac);
    std::string digest = "SHA256";
    const std::array<OSSL_PARAM, 2> parameters{
        OSSL_PARAM_construct_utf8_string("digest", digest.data(), 0), OSSL_PARAM_construct_end()};
    const int ready =
        EVP_MAC_init(context.get(), reinterpret_cast<const unsigned char*>(secret.data()),
                     secret.size(), parameters.data());
    check(ready == 1, "the library has HMAC-SHA256");
    return context;
}

/// Truncated HMAC-SHA256 over the body. Each thread prepares a secret once.
tag sign(std::string_view body, const peer_key& key)
{
    thread_local std::map<std::string, mac_context> prepared;
    mac_context& context = prepared[key.m_secret];
    if (!context) {
        context = make_mac(key.m_secret);
    }
    std::array<unsigned char, EVP_MAX_MD_SIZE> full{};
    std::size_t length = 0;
    const bool signed_whole =
        EVP_MAC_init(context.get(), nullptr, 0, nullptr) == 1 &&
        EVP_MAC_update(context.get(), reinterpret_cast<const unsigned char*>(body.data()),
                       body.size()) == 1 &&
        EVP_MAC_final(context.get(), full.data(), &length, full.size()) == 1;
    check(signed_whole && length >= tag_bytes, "the digest covers the tag");
    tag result{};
    std::copy_n(full.begin(), tag_bytes, result.begin());
    return result;
}

bool is_known(member_phase phase)
{
    return phase <= member_phase::left;
}

bool is_known(error_kind kind)
{
    return static_cast<std::size_t>(kind) < error_kind_count;
}

bool is_known(const key_record& record)
{
    return record.m_state <= key_state::unknown;
}

/// True when every enumerated value of a message is one of its enumeration.
struct words_are_known {
    bool operator()(const heartbeat_message& m) const { return is_known(m.m_self.m_phase); }
    bool operator()(const member_tell_message& m) const
    {
        return std::all_of(m.m_members.begin(), m.m_members.end(),
                           [](const member& one) { return is_known(one.m_phase); });
    }
    bool operator()(const slot_refusal_message& m) const { return is_known(m.m_kind); }
    bool operator()(const slot_release_message& m) const
    {
        return m.m_outcome <= slot_outcome::still_busy;
    }
    bool operator()(const key_claim_message& m) const { return is_known(m.m_record); }
    bool operator()(const key_copy_message& m) const { return is_known(m.m_record); }
    bool operator()(const key_copied_message& m) const { return is_known(m.m_record); }
    bool operator()(const key_verdict_message& m) const { return !m.m_kind || is_known(*m.m_kind); }
    bool operator()(const key_transfer_message& m) const
    {
        return std::all_of(m.m_records.begin(), m.m_records.end(),
                           [](const key_record& record) { return is_known(record); });
    }
    template <typename Message>
    bool operator()(const Message& /*message*/) const
    {
        return true;
    }
};

} // namespace

std::string encode_packet(const peer_packet& packet, const peer_key& key)
{
    std::string body;
    bounded_output_archive archive(body);
    archive(packet);
    const tag signature = sign(body, key);
    std::string bytes;
    bytes.reserve(header_bytes + body.size());
    bytes += magic;
    bytes += protocol_version;
    bytes += static_cast<char>(key.m_id);
    bytes.append(reinterpret_cast<const char*>(signature.data()), signature.size());
    bytes += body;
    return bytes;
}

std::optional<peer_packet> decode_packet_body(std::string_view body)
{
    try {
        bounded_input_archive archive(body);
        peer_packet packet;
        archive(packet);
        for (const peer_message& message : packet.m_messages) {
            if (!std::visit(words_are_known{}, message)) {
                return fail("malformed packet: a word is not known");
            }
        }
        return packet;
    }
    catch (const std::exception& error) {
        return fail(std::string("malformed packet: ") + error.what());
    }
}

std::optional<peer_packet> decode_packet(std::string_view bytes, const peer_keys& keys)
{
    if (bytes.size() < header_bytes || bytes.size() > max_packet_bytes ||
        bytes.substr(0, magic.size()) != magic) {
        return fail("not a packet of this protocol");
    }
    if (bytes[magic.size()] != protocol_version) {
        return fail("protocol version " + std::to_string(bytes[magic.size()]) + " is not known");
    }
    const auto key_id = static_cast<std::uint8_t>(bytes[magic.size() + 1]);
    const auto key = std::find_if(keys.begin(), keys.end(),
                                  [key_id](const peer_key& k) { return k.m_id == key_id; });
    if (key == keys.end()) {
        return fail("key " + std::to_string(key_id) + " is not known");
    }
    const std::string_view body = bytes.substr(header_bytes);
    const tag expected = sign(body, *key);
    if (CRYPTO_memcmp(expected.data(), bytes.data() + magic.size() + 2, tag_bytes) != 0) {
        return fail("wrong signature");
    }
    return decode_packet_body(body);
}

} // namespace guavabay
