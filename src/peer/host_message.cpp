#include "peer/host_message.h"

#include <algorithm>
#include <array>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <cstring>
#include <optional>

#include "core/result.h"
#include "net/http_call.h"
#include "peer/bounded_archive.h"

namespace guavabay {

template <typename Archive>
void serialize(Archive& archive, submit_request& value)
{
    archive(value.m_service, value.m_queue, value.m_id, value.m_submission, value.m_organisation);
}

template <typename Archive>
void serialize(Archive& archive, owner_reply& value)
{
    archive(value.m_answer, value.m_retry_after_s, value.m_state, value.m_count);
}

template <typename Archive>
void serialize(Archive& archive, cancel_request& value)
{
    archive(value.m_service, value.m_queue, value.m_id, value.m_organisation);
}

template <typename Archive>
void serialize(Archive& archive, state_request& value)
{
    archive(value.m_service, value.m_queue, value.m_id, value.m_organisation);
}

template <typename Archive>
void serialize(Archive& archive, count_request& value)
{
    archive(value.m_service, value.m_queue);
}

template <typename Archive>
void serialize(Archive& archive, holder_inquiry& value)
{
    archive(value.m_service, value.m_asker, value.m_queue, value.m_id, value.m_organisation,
            value.m_subject);
}

template <typename Archive>
void serialize(Archive& archive, cordon_request& value)
{
    archive(value.m_service, value.m_machines, value.m_urgent, value.m_upkeep_due, value.m_coming);
}

template <typename Archive>
void serialize(Archive& archive, machine_report& value)
{
    archive(value.m_machine, value.m_runs, value.m_lasting, value.m_busy_ms);
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

template <typename Archive>
void serialize(Archive& archive, task_name& value)
{
    archive(value.m_submission, value.m_occurrence, value.m_step, value.m_index);
}

template <typename Archive>
void serialize(Archive& archive, worker_order& value)
{
    archive(value.m_kind, value.m_worker, value.m_address, value.m_task, value.m_run, value.m_spec,
            value.m_checkpoint, value.m_ticket, value.m_deadline_ms, value.m_percent);
}

template <typename Archive>
void serialize(Archive& archive, hold_request& value)
{
    archive(value.m_worker, value.m_address, value.m_deadline_ms, value.m_acked_through);
}

template <typename Archive>
void serialize(Archive& archive, reported_run& value)
{
    archive(value.m_task, value.m_run, value.m_checkpoint, value.m_percent, value.m_load);
}

template <typename Archive>
void serialize(Archive& archive, reported_end& value)
{
    archive(value.m_number, value.m_task, value.m_run, value.m_outcome, value.m_checkpoint);
}

template <typename Archive>
void serialize(Archive& archive, worker_report& value)
{
    archive(value.m_clock_ms, value.m_incarnation_start_ms, value.m_running, value.m_ended);
}

template <typename Archive>
void serialize(Archive& archive, worker_order_request& value)
{
    archive(value.m_order, value.m_token);
}

template <typename Archive>
void serialize(Archive& archive, worker_order_reply& value)
{
    archive(value.m_outcome);
}

template <typename Archive>
void serialize(Archive& archive, worker_hold_request& value)
{
    archive(value.m_hold, value.m_token, value.m_wait_ms);
}

template <typename Archive>
void serialize(Archive& archive, worker_hold_reply& value)
{
    archive(value.m_outcome, value.m_report);
}

template <typename Archive>
void serialize(Archive& archive, store_status_request& value)
{
    (void)archive;
    (void)value;
}

template <typename Archive>
void serialize(Archive& archive, store_status_reply& value)
{
    archive(value.m_store_answers);
}

template <typename Archive>
void serialize(Archive& archive, resources& value)
{
    archive(value.m_cpu_millis, value.m_memory_mb, value.m_accelerators);
}

template <typename Archive>
void serialize(Archive& archive, quota_need& value)
{
    archive(value.m_organisation, value.m_used, value.m_hidden, value.m_held, value.m_wanted,
            value.m_largest);
}

template <typename Archive>
void serialize(Archive& archive, quota_request& value)
{
    archive(value.m_service, value.m_token, value.m_sequence, value.m_needs);
}

template <typename Archive>
void serialize(Archive& archive, quota_grant& value)
{
    archive(value.m_organisation, value.m_granted);
}

template <typename Archive>
void serialize(Archive& archive, quota_reply& value)
{
    archive(value.m_token, value.m_sequence, value.m_grants);
}

namespace {

/// Checks that the enumerated values of a message are ones of their enumerations.
struct value_check {
    bool operator()(const owner_reply& reply) const
    {
        return reply.m_answer <= owner_answer::forbidden &&
               reply.m_state <= submission_state::canceled;
    }

    bool operator()(const holder_inquiry& inquiry) const
    {
        return inquiry.m_subject <= inquiry_subject::count;
    }

    bool operator()(const relay_reply& reply) const
    {
        return reply.m_progress <= static_cast<std::uint8_t>(call_progress::unknown);
    }

    bool operator()(const worker_order_request& request) const
    {
        return request.m_order.m_kind <= worker_order::kind::pace;
    }

    bool operator()(const worker_order_reply& reply) const
    {
        return reply.m_outcome <= order_outcome::unknown;
    }

    bool operator()(const worker_hold_reply& reply) const
    {
        return reply.m_outcome <= order_outcome::unknown &&
               std::all_of(reply.m_report.m_ended.begin(), reply.m_report.m_ended.end(),
                           [](const reported_end& end) {
                               return end.m_outcome <= run_end::gang_incomplete;
                           });
    }

    template <typename Message>
    bool operator()(const Message& /*message*/) const
    {
        return true;
    }
};

} // namespace

std::string_view message_name(std::size_t kind)
{
    static constexpr std::array<std::string_view, std::variant_size_v<host_message>> names{
        "submit_request",
        "cancel_request",
        "state_request",
        "count_request",
        "cordon_request",
        "relay_request",
        "greeting",
        "owner_reply",
        "cordon_reply",
        "relay_reply",
        "worker_order_request",
        "worker_order_reply",
        "worker_hold_request",
        "worker_hold_reply",
        "store_status_request",
        "store_status_reply",
        "quota_request",
        "quota_reply",
        "holder_inquiry"};
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
        frame.m_memory = bytes.size() + archive.decoded_bytes();
        if (!std::visit(value_check{}, frame.m_message)) {
            return fail("malformed frame: a word is not known");
        }
        return frame;
    }
    catch (const std::exception& error) {
        return fail(std::string("malformed frame: ") + error.what());
    }
}

} // namespace guavabay
