#pragma once

#include "installation.h"

namespace review {

inline constexpr int rule_held = 0;
inline constexpr int rule_broken = 1;
inline constexpr int could_not_run = 2;

using scenario = asio::awaitable<int> (*)(installation& place, bool has_trouble);

/// ROUTE: a rack of runners crashes, and they start again under their ids with another kind.
asio::awaitable<int> run_new_kind(installation& place, bool has_trouble);

/// MIXED: two waves name one machine, and an order of the second one gets no answer.
asio::awaitable<int> run_two_waves(installation& place, bool has_trouble);

/// REFUSED: the host that owns the pool freezes for a second while large submissions come.
asio::awaitable<int> run_false_refusal(installation& place, bool has_trouble);

/// TWICE: a version of the config sends a queue with running work to another service.
asio::awaitable<int> run_moved_queue(installation& place, bool has_trouble);

/// AVAIL: a runner drains while the machine of another one is due for upkeep, and room appears.
asio::awaitable<int> run_drain_beside_wave(installation& place, bool has_trouble);

/// LOST: the pool's owner is killed during a wave, and the next owner is restarted as planned.
asio::awaitable<int> run_waiting_owners(installation& place, bool has_trouble);

/// BUDGET: the owner is killed between two writes while many submissions have failed for good.
asio::awaitable<int> run_split_record(installation& place, bool has_trouble);

} // namespace review
