#include "peer/host_message.h"

#include <array>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <cstring>
#include <optional>

#include "core/result.h"
#include "peer/bounded_archive.h"

namespace guavabay {

template <typename Archive>
void serialize(Archive& archive, submit_request& value)
{
    archive(value.m_service, value.m_queue, value.m_id, value.m_submission);
}

template <typename Archive>
void serialize(Archive& archive, owner_reply& value)
{
    archive(value.m_answer, value.m_retry_after_s, value.m_state, value.m_count);
}

template <typename Archive>
void serialize(Archive& archive, cancel_request& value)
{
    archive(value.m_service, value.m_id);
}

template <typename Archive>
void serialize(Archive& archive, state_request& value)
{
    archive(value.m_service, value.m_id);
}

template <typename Archive>
void serialize(Archive& archive, count_request& value)
{
    archive(value.m_service, value.m_queue);
}

template <typename Archive>
void serialize(Archive& archive, cordon_request& value)
{
    archive(value.m_service, value.m_machines, value.m_urgent, value.m_upkeep_due, value.m_coming);
}

template <typename Archive>
void serialize(Archive& archive, machine_report& value)
{
    archive(value.m_machine, value.m_runs, value.m_lasting);
}

template <typename Archive>
void serialize(Archive& archive, cordon_reply& value)
{
    archive(value.m_owner, value.m_clear, value.m_needed, value.m_machines);
}

template <typename Archive>
void serialize(Archive& archive, relay_request& value)
{
    archive(value.m_method, value.m_target, value.m_body, value.m_timeout_ms);
}

template <typename Archive>
void serialize(Archive& archive, relay_reply& value)
{
    archive(value.m_progress, value.m_status, value.m_body);
}

template <typename Archive>
void serialize(Archive& archive, greeting& value)
{
    archive(value.m_host, value.m_address, value.m_config_revision, value.m_store_answers,
            value.m_config, value.m_peers);
}

namespace {

/// True when the enumerated values of a message are ones of their enumerations.
bool is_known(const host_message& message)
{
    const auto* reply = std::get_if<owner_reply>(&message);
    return reply == nullptr || (reply->m_answer <= owner_answer::unknown &&
                                reply->m_state <= submission_state::canceled);
}

} // namespace

std::string_view message_name(std::size_t kind)
{
    static constexpr std::array<std::string_view, std::variant_size_v<host_message>> names{
        "submit_request", "cancel_request", "state_request", "count_request", "cordon_request",
        "relay_request",  "greeting",       "owner_reply",   "cordon_reply",  "relay_reply"};
    return names.at(kind);
}

std::string encode_frame(std::uint64_t number, const host_message& message)
{
    std::string bytes(sizeof(std::uint32_t), '\0');
    bounded_output_archive archive(bytes);
    archive(number, message);
    const auto length = static_cast<std::uint32_t>(bytes.size() - sizeof(std::uint32_t));
    std::memcpy(bytes.data(), &length, sizeof length);
    return bytes;
}

std::optional<host_frame> decode_frame(std::string_view bytes)
{
    try {
        bounded_input_archive archive(bytes);
        host_frame frame;
        archive(frame.m_number, frame.m_message);
        frame.m_bytes = bytes.size();
        if (!is_known(frame.m_message)) {
            return fail("malformed frame: a word is not known");
        }
        return frame;
    }
    catch (const std::exception& error) {
        return fail(std::string("malformed frame: ") + error.what());
    }
}

} // namespace guavabay
