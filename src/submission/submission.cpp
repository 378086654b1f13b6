#include "submission/submission.h"

#include <algorithm>
#include <array>
#include <charconv>

#include "core/result.h"

namespace guavabay {

namespace {

/// Largest amount of a resource that a task may ask for.
constexpr std::int64_t max_amount = 1000000000;

/// Longest estimate and interval, and latest first start before and after 1970, in milliseconds.
constexpr std::int64_t max_length_ms = 10000000000;
constexpr std::int64_t max_unix_ms = 1000000000000000;

bool normalise_step(submission_step& step, std::size_t index)
{
    if (step.m_task_count == 0 || step.m_task_count > max_step_tasks) {
        fail("a step has from 1 to 10000 tasks");
        return false;
    }
    std::vector<std::uint32_t>& after = step.m_after;
    std::sort(after.begin(), after.end());
    after.erase(std::unique(after.begin(), after.end()), after.end());
    after.shrink_to_fit();
    if (!after.empty() && after.back() >= index) {
        fail("a step can only come after earlier ones");
        return false;
    }
    const auto clamp = [](std::int64_t amount) {
        return std::clamp<std::int64_t>(amount, 0, max_amount);
    };
    step.m_demand = {clamp(step.m_demand.m_cpu_millis), clamp(step.m_demand.m_memory_mb),
                     clamp(step.m_demand.m_accelerators)};
    step.m_estimate = std::clamp(step.m_estimate, std::chrono::milliseconds(0),
                                 std::chrono::milliseconds(max_length_ms));
    return true;
}

} // namespace

bool normalise(submission& what)
{
    if (what.m_steps.empty() || what.m_steps.size() > max_submission_steps) {
        fail("a submission has from 1 to 256 steps");
        return false;
    }
    if (what.m_repeat_count > max_repeats) {
        fail("repeat-count is from 0 to 100000");
        return false;
    }
    what.m_first_start_ms = std::clamp(what.m_first_start_ms, -max_unix_ms, max_unix_ms);
    what.m_interval_ms = std::clamp<std::int64_t>(what.m_interval_ms, 0, max_length_ms);
    for (std::size_t i = 0; i < what.m_steps.size(); ++i) {
        if (!normalise_step(what.m_steps[i], i)) {
            return false;
        }
    }
    return true;
}

std::string to_string(const task_name& name)
{
    return name.m_submission.str() + '.' + std::to_string(name.m_occurrence) + '.' +
           std::to_string(name.m_step) + '.' + std::to_string(name.m_index);
}

std::optional<task_name> parse_task_name(std::string_view text)
{
    std::array<std::uint32_t, 3> numbers{};
    for (std::size_t i = numbers.size(); i-- > 0;) {
        const std::size_t dot = text.rfind('.');
        if (dot == std::string_view::npos) {
            return fail("malformed task name: fewer than four parts separated by dots");
        }
        const std::string_view part = text.substr(dot + 1);
        const auto [end, status] =
            std::from_chars(part.data(), part.data() + part.size(), numbers[i]);
        if (status != std::errc() || end != part.data() + part.size()) {
            return fail("malformed task name: occurrence, step or index is not a 32-bit number");
        }
        text = text.substr(0, dot);
    }
    if (text.empty()) {
        return fail("malformed task name: no submission id");
    }
    return task_name{submission_id(std::string(text)), numbers[0], numbers[1], numbers[2]};
}

std::chrono::milliseconds critical_path_length(const submission& request)
{
    std::vector<std::chrono::milliseconds> ends(request.m_steps.size());
    std::chrono::milliseconds longest{0};
    for (std::size_t i = 0; i < request.m_steps.size(); ++i) {
        std::chrono::milliseconds begin{0};
        for (const std::uint32_t earlier : request.m_steps[i].m_after) {
            begin = std::max(begin, ends[earlier]);
        }
        ends[i] = begin + request.m_steps[i].m_estimate;
        longest = std::max(longest, ends[i]);
    }
    return longest;
}

double total_core_ms(const submission& request)
{
    double work = 0;
    for (const submission_step& step : request.m_steps) {
        work += static_cast<double>(step.m_task_count) *
                static_cast<double>(step.m_demand.m_cpu_millis) / 1000.0 *
                static_cast<double>(step.m_estimate.count());
    }
    return work;
}

} // namespace guavabay
