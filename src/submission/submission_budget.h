#pragma once

#include <array>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>

#include "submission/submission.h"

namespace guavabay {

/// What memory is held for.
enum class memory_use : std::uint8_t {
    work,          ///< Open submissions that end by themselves, and final states.
    lasting_work,  ///< Open submissions that repeat or have long-running tasks.
    cancellations, ///< Cancellations of ids that were not accepted.
};

inline constexpr std::size_t memory_use_count = 3;

/// Memory that one process may hold for what callers have handed in, on all shards that it owns.
/// Used on one thread.
struct submission_budget
    : boost::intrusive_ref_counter<submission_budget, boost::thread_unsafe_counter> {
    std::size_t m_max_bytes = std::numeric_limits<std::size_t>::max();
    std::array<std::size_t, memory_use_count> m_held_bytes{};
    std::uint64_t m_refusals = 0; ///< Submissions and cancellations, for the metrics.
};

/// A part of a budget, which is returned when this object is destroyed.
class held_memory {
public:
    held_memory() = default;
    held_memory(const held_memory&) = delete;
    held_memory& operator=(const held_memory&) = delete;
    held_memory(held_memory&& other) noexcept;
    held_memory& operator=(held_memory&& other) noexcept;
    ~held_memory();

    /// Holds a number of bytes in place of the former part, whether there is room or not. Without a
    /// budget nothing is counted.
    void hold(boost::intrusive_ptr<submission_budget> budget, memory_use use, std::size_t bytes);

private:
    void release();

    boost::intrusive_ptr<submission_budget> m_budget;
    memory_use m_use = memory_use::work;
    std::size_t m_bytes = 0;
};

/// The budget of a host with a memory in MB.
boost::intrusive_ptr<submission_budget> make_submission_budget(std::size_t memory_mb);

/// Runs that a process with a budget may have on workers at one time.
std::size_t max_runs(const submission_budget& budget);

/// True if a budget has room for a number of bytes. Lasting work leaves half of the budget to work
/// that ends, cancellations leave most of it to submissions, and large submissions leave room for
/// small ones.
bool has_room(const submission_budget& budget, memory_use use, std::size_t bytes);

/// True if an empty budget would have room.
bool may_ever_have_room(const submission_budget& budget, memory_use use, std::size_t bytes);

/// Bytes that are held for all uses.
std::size_t total_held(const submission_budget& budget);

/// True if little memory is left, so that final states should be forgotten as soon as nobody may
/// ask for them any more.
bool is_low(const submission_budget& budget);

/// The budget's metrics in the Prometheus text format.
std::string format_submission_metrics(const submission_budget& budget);

} // namespace guavabay
