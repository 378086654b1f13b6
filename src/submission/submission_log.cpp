#include "submission/submission_log.h"

#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include "core/result.h"
#include "peer/bounded_archive.h"
#include "submission/submission_cost.h"

namespace guavabay {

namespace {

constexpr std::uint8_t log_format_version = 1;

template <typename Value>
std::optional<Value> decode_value(std::string_view bytes)
{
    try {
        bounded_input_archive archive(bytes);
        std::uint8_t format = 0;
        archive(format);
        if (format != log_format_version) {
            return fail("unknown format version of a submission log entry or submission: " +
                        std::to_string(format));
        }
        Value value;
        archive(value);
        return value;
    }
    catch (const std::exception& error) {
        return fail(error.what());
    }
}

template <typename Value>
std::string encode_value(const Value& value)
{
    std::string bytes;
    bounded_output_archive archive(bytes);
    archive(log_format_version, value);
    return bytes;
}

} // namespace

template <typename Archive>
void serialize(Archive& archive, resources& value)
{
    archive(value.m_cpu_millis, value.m_memory_mb, value.m_accelerators);
}

template <typename Archive>
void serialize(Archive& archive, submission_step& value)
{
    std::int64_t estimate_ms = value.m_estimate.count();
    archive(value.m_task_count, value.m_demand, estimate_ms, value.m_after, value.m_saves_progress,
            value.m_gang, value.m_same_rack, value.m_speculative, value.m_long_running,
            value.m_uses_idle_cores, value.m_required_label, value.m_data_rack,
            value.m_max_per_worker, value.m_image, value.m_tail_latency_target_ms,
            value.m_max_unavailable);
    value.m_estimate = std::chrono::milliseconds(estimate_ms);
}

template <typename Archive>
void serialize(Archive& archive, submission& value)
{
    archive(value.m_spec, value.m_steps, value.m_repeat_count, value.m_first_start_ms,
            value.m_interval_ms);
}

template <typename Archive>
void serialize(Archive& archive, task_name& value)
{
    archive(value.m_submission, value.m_occurrence, value.m_step, value.m_index);
}

template <typename Archive>
void serialize(Archive& archive, log_accepted& value)
{
    archive(value.m_id, value.m_queue, value.m_accepted_ms, value.m_submission);
}

template <typename Archive>
void serialize(Archive& archive, log_cancelled& value)
{
    archive(value.m_id);
}

template <typename Archive>
void serialize(Archive& archive, log_task_ended& value)
{
    std::int64_t run = value.m_run.get();
    archive(value.m_task, value.m_done, run);
    value.m_run = run_number(run);
}

template <typename Archive>
void serialize(Archive& archive, log_closed& value)
{
    archive(value.m_id, value.m_state, value.m_closed_ms);
}

template <typename Archive>
void serialize(Archive& archive, log_purged& value)
{
    archive(value.m_id);
}

template <typename Archive>
void serialize(Archive& archive, log_worker_used& value)
{
    archive(value.m_worker, value.m_address);
}

template <typename Archive>
void serialize(Archive& archive, log_worker_gone& value)
{
    archive(value.m_worker);
}

template <typename Archive>
void serialize(Archive& archive, log_ownership_released& value)
{
    archive(value.m_busy_workers);
}

template <typename Archive>
void serialize(Archive& archive, log_ownership_taken& value)
{
    archive(value.m_token);
}

template <typename Archive>
void serialize(Archive& archive, log_queue_contract& value)
{
    queue_contract& contract = value.m_contract;
    std::int64_t target_ms = contract.m_target.count();
    std::int64_t validity_ms = contract.m_advice_validity.count();
    archive(contract.m_queue, contract.m_service, contract.m_priority, contract.m_max_attempts,
            contract.m_stretch_factor, target_ms, contract.m_needs_advice, validity_ms);
    contract.m_target = milliseconds(target_ms);
    contract.m_advice_validity = milliseconds(validity_ms);
}

template <typename Archive>
void serialize(Archive& archive, log_worker_incarnation& value)
{
    archive(value.m_worker, value.m_start_ms, value.m_settled);
}

template <typename Archive>
void serialize(Archive& archive, log_submission_organisation& value)
{
    archive(value.m_id, value.m_organisation);
}

std::size_t encoded_bytes(const log_entry& entry)
{
    constexpr std::size_t small_entry_bytes = 256;
    if (const auto* accepted = std::get_if<log_accepted>(&entry)) {
        return small_entry_bytes + encoded_submission_bytes(accepted->m_submission);
    }
    if (const auto* released = std::get_if<log_ownership_released>(&entry)) {
        return small_entry_bytes * (1 + released->m_busy_workers.size());
    }
    return small_entry_bytes;
}

std::string encode_log(const std::vector<log_entry>& entries)
{
    return encode_value(entries);
}

std::optional<std::vector<log_entry>> decode_log(std::string_view bytes)
{
    return decode_value<std::vector<log_entry>>(bytes);
}

std::string encode_submission(const submission& request)
{
    return encode_value(request);
}

std::optional<submission> decode_submission_bytes(std::string_view bytes)
{
    return decode_value<submission>(bytes);
}

} // namespace guavabay
