#pragma once

#include <cstddef>

#include "submission/submission.h"
#include "submission/submission_budget.h"

// Memory that submissions take on the owner of their shard, from their definitions alone.
namespace guavabay {

/// Memory of the state of one step of an occurrence, in bytes; see step_tasks.
inline constexpr std::size_t step_state_bytes = 128;

/// Memory of a submission whose state is final, and of a cancellation of an unknown id, in bytes,
/// with their places in the indices.
inline constexpr std::size_t closed_submission_bytes = 1024;
inline constexpr std::size_t cancellation_bytes = 256;

/// Number of occurrences of a submission that may have tasks which wait for a worker. Later ones
/// that are due are created when these have started.
std::size_t max_waiting_occurrences(const submission& what);

/// Memory of a definition, in bytes.
std::size_t definition_bytes(const submission& what);

/// Memory of an open submission of which nothing has started, in bytes.
std::size_t open_submission_bytes(const submission& what);

/// The same while it waits to be stored: the entry of the log and its encoding are copies.
std::size_t new_submission_bytes(const submission& what);

/// Upper bound of the size of an encoded submission, in bytes.
std::size_t encoded_submission_bytes(const submission& what);

/// Largest encoded submission that a record of the store can hold, in bytes.
inline constexpr std::size_t max_stored_submission_bytes = 786432;

/// What an open submission holds memory for.
memory_use memory_use_of(const submission& what);

} // namespace guavabay
