#include "submission/submission_cost.h"

#include <algorithm>

namespace guavabay {

namespace {

/// Occurrences of a submission that wait for workers at one time, and their steps together.
constexpr std::size_t max_waiting_repeats = 16;
constexpr std::size_t max_waiting_steps = 512;

/// Memory of an occurrence beside its steps.
constexpr std::size_t occurrence_bytes = 128;

/// Copies of a definition that exist until the submission is stored, beside its own: the entry of
/// the log, its encoding, and the call to the store.
constexpr std::size_t copies_until_stored = 3;

/// Size of an encoded step without its texts and its list of earlier steps.
constexpr std::size_t encoded_step_bytes = 96;
constexpr std::size_t encoded_header_bytes = 64;

/// Memory that a text takes beside the object itself.
std::size_t heap_bytes(const std::string& text)
{
    static const std::size_t inline_capacity = std::string().capacity();
    return text.capacity() > inline_capacity ? text.capacity() + 1 : 0;
}

} // namespace

std::size_t max_waiting_occurrences(const submission& what)
{
    const std::size_t steps = std::max<std::size_t>(1, what.m_steps.size());
    return std::clamp<std::size_t>(max_waiting_steps / steps, 1, max_waiting_repeats);
}

std::size_t definition_bytes(const submission& what)
{
    std::size_t bytes = heap_bytes(what.m_spec);
    for (const submission_step& step : what.m_steps) {
        bytes += sizeof(submission_step) + heap_bytes(step.m_required_label) +
                 heap_bytes(step.m_data_rack) + heap_bytes(step.m_image) +
                 step.m_after.capacity() * sizeof(std::uint32_t);
    }
    return bytes;
}

std::size_t open_submission_bytes(const submission& what)
{
    constexpr std::size_t bits_per_byte = 8;
    const std::size_t occurrences = std::min<std::size_t>(
        std::max<std::size_t>(1, what.m_repeat_count), max_waiting_occurrences(what));
    return closed_submission_bytes + definition_bytes(what) +
           occurrences * (occurrence_bytes + what.m_steps.size() * step_state_bytes) +
           what.m_repeat_count / bits_per_byte;
}

std::size_t new_submission_bytes(const submission& what)
{
    return open_submission_bytes(what) + copies_until_stored * definition_bytes(what);
}

std::size_t encoded_submission_bytes(const submission& what)
{
    std::size_t bytes = encoded_header_bytes + what.m_spec.size();
    for (const submission_step& step : what.m_steps) {
        bytes += encoded_step_bytes + step.m_required_label.size() + step.m_data_rack.size() +
                 step.m_image.size() + step.m_after.size() * sizeof(std::uint32_t);
    }
    return bytes;
}

memory_use memory_use_of(const submission& what)
{
    const bool is_lasting =
        what.m_repeat_count > 0 ||
        std::any_of(what.m_steps.begin(), what.m_steps.end(),
                    [](const submission_step& step) { return step.m_long_running; });
    return is_lasting ? memory_use::lasting_work : memory_use::work;
}

} // namespace guavabay
