#include "schedule/locality.h"

#include <algorithm>
#include <limits>

namespace guavabay {

namespace {

/// Upper ends of the classes of ratios; the last class is open.
constexpr std::array<double, overrun_history::class_count - 1> class_ends{0.5, 0.8, 1.1, 1.5,
                                                                          2,   3,   5,   8};
/// Ratio that stands for each class.
constexpr std::array<double, overrun_history::class_count> class_ratios{0.35, 0.65, 1, 1.3, 1.75,
                                                                        2.5,  4,    7, 10};

/// Older runs count half after about this many.
constexpr double history_decay = 1 - 1.0 / 200;

/// Number of samples from which on the history counts more than the prior.
constexpr double prior_samples = 20;

/// A run that is past its expected end is expected to end no sooner than after this time.
constexpr milliseconds min_remaining{200};

/// A wait that was expected to be shorter is compared as if it had been this long, so that the
/// interval of reports does not look like an error of the forecast.
constexpr milliseconds min_compared_wait{40};

/// Weight of a measured wait in the average, and its limits.
constexpr double wait_weight = 0.1;
constexpr double min_wait_ratio = 0.5;
constexpr double max_wait_ratio = 4;

/// Number of times a demand fits into free capacity, up to a limit.
std::uint32_t count_copies(const resources& free, const resources& demand, std::uint32_t limit)
{
    std::int64_t copies = limit;
    const auto restrict = [&copies](std::int64_t offered, std::int64_t wanted) {
        if (wanted > 0) {
            copies = std::min(copies, std::max<std::int64_t>(0, offered) / wanted);
        }
    };
    restrict(free.m_cpu_millis, demand.m_cpu_millis);
    restrict(free.m_memory_mb, demand.m_memory_mb);
    restrict(free.m_accelerators, demand.m_accelerators);
    return static_cast<std::uint32_t>(copies);
}

/// Time without a run's history: its expected end, or as much longer as it is late.
duration prior_remaining(duration expected, duration elapsed)
{
    const duration left = expected - elapsed;
    return std::max<duration>(left >= duration(0) ? left : -left, min_remaining);
}

duration scale(duration length, double factor)
{
    return duration(static_cast<std::int64_t>(static_cast<double>(length.count()) * factor));
}

place_decision second_best(place_reason reason)
{
    return {place_action::second_best, duration(0), reason};
}

place_decision wait_up_to(duration longest, place_reason reason)
{
    return longest > duration(0) ? place_decision{place_action::wait, longest, reason}
                                 : second_best(place_reason::waited_enough);
}

} // namespace

void add_overrun(overrun_history& history, double ratio)
{
    for (double& count : history.m_counts) {
        count *= history_decay;
    }
    const auto end = std::find_if(class_ends.begin(), class_ends.end(),
                                  [ratio](double limit) { return ratio < limit; });
    ++history.m_counts.at(static_cast<std::size_t>(end - class_ends.begin()));
    history.m_samples = history.m_samples * history_decay + 1;
}

duration expected_remaining(const overrun_history& history, duration expected, duration elapsed)
{
    const duration prior = prior_remaining(expected, elapsed);
    const auto length = static_cast<double>(std::max<duration>(expected, milliseconds(1)).count());
    const double reached = static_cast<double>(elapsed.count()) / length;
    double left = 0;
    double weight = 0;
    for (std::size_t i = 0; i < history.m_counts.size(); ++i) {
        if (class_ratios.at(i) > reached) {
            left += history.m_counts.at(i) * (class_ratios.at(i) - reached);
            weight += history.m_counts.at(i);
        }
    }
    if (weight <= 0) {
        return prior;
    }
    // The prior loses weight with the samples that say something about a run of this age.
    const double learned = left / weight * length;
    const double trust = weight / (weight + prior_samples);
    return scale(prior, 1 - trust) + duration(static_cast<std::int64_t>(learned * trust));
}

std::optional<duration> time_until_room(const place_outlook& place, const resources& demand,
                                        std::uint32_t count, std::uint32_t max_per_worker,
                                        const std::vector<bool>& excluded)
{
    if (count == 0) {
        return duration(0);
    }
    const std::uint32_t limit = max_per_worker == 0 ? count : std::min(count, max_per_worker);
    std::vector<std::pair<duration, std::uint32_t>> rooms;
    for (std::size_t i = 0; i < place.m_workers.size(); ++i) {
        if (i < excluded.size() && excluded[i]) {
            continue;
        }
        const worker_outlook& worker = place.m_workers[i];
        resources free = worker.m_free;
        std::uint32_t copies = count_copies(free, demand, limit);
        if (copies > 0) {
            rooms.emplace_back(worker.m_from, copies);
        }
        for (const expected_release& release : worker.m_releases) {
            if (copies == limit) {
                break;
            }
            free = free + release.m_freed;
            const std::uint32_t more = count_copies(free, demand, limit);
            if (more > copies) {
                rooms.emplace_back(std::max(worker.m_from, release.m_after), more - copies);
                copies = more;
            }
        }
    }
    std::sort(rooms.begin(), rooms.end());
    std::uint32_t found = 0;
    for (const auto& [after, copies] : rooms) {
        found += copies;
        if (found >= count) {
            return after;
        }
    }
    return std::nullopt;
}

bool book_on(worker_outlook& worker, const expected_booking& work)
{
    worker_outlook changed = worker;
    std::size_t used = 0;
    while (!fits(work.m_demand, changed.m_free)) {
        if (used == changed.m_releases.size()) {
            return false;
        }
        changed.m_from = std::max(changed.m_from, changed.m_releases[used].m_after);
        changed.m_free = changed.m_free + changed.m_releases[used].m_freed;
        ++used;
    }
    changed.m_releases.erase(changed.m_releases.begin(),
                             changed.m_releases.begin() + static_cast<std::ptrdiff_t>(used));
    changed.m_free = changed.m_free - work.m_demand;
    const expected_release end{changed.m_from + work.m_length, work.m_demand};
    const auto position =
        std::upper_bound(changed.m_releases.begin(), changed.m_releases.end(), end,
                         [](const expected_release& left, const expected_release& right) {
                             return left.m_after < right.m_after;
                         });
    changed.m_releases.insert(position, end);
    worker = std::move(changed);
    return true;
}

std::optional<std::size_t> book(place_outlook& place, const expected_booking& work,
                                const std::vector<bool>& excluded)
{
    std::optional<std::size_t> best;
    duration best_time{0};
    for (std::size_t i = 0; i < place.m_workers.size(); ++i) {
        if (i < excluded.size() && excluded[i]) {
            continue;
        }
        const worker_outlook& worker = place.m_workers[i];
        const std::optional<duration> room = time_until_room({{worker}}, work.m_demand, 1, 0, {});
        if (room && (!best || *room < best_time)) {
            best = i;
            best_time = *room;
        }
    }
    if (best) {
        book_on(place.m_workers[*best], work);
    }
    return best;
}

place_decision decide_place(const place_question& question)
{
    if (question.m_room_in && *question.m_room_in <= duration(0)) {
        return {place_action::start_here, duration(0), place_reason::has_room};
    }
    if (!question.m_room_in) {
        return second_best(place_reason::no_room);
    }
    const duration room = *question.m_room_in;
    const duration longer = question.m_time_elsewhere - question.m_time_here;
    if (longer <= duration(0)) {
        return second_best(place_reason::no_gain);
    }
    // The deadline that decides: the objective if either choice meets it, else the hard deadline.
    for (const duration slack : {question.m_slack, question.m_hard_slack}) {
        const bool here = room <= slack;
        const bool elsewhere = longer <= slack;
        if (elsewhere && !here) {
            return second_best(place_reason::urgent);
        }
        if (here && !elsewhere) {
            return wait_up_to(slack, place_reason::only_in_time);
        }
        if (here && elsewhere) {
            break;
        }
    }
    const double gain = static_cast<double>(longer.count()) * (1 + question.m_work_price);
    const double cost = static_cast<double>(room.count()) * (1 + question.m_idle_price);
    if (cost >= gain) {
        return second_best(place_reason::no_gain);
    }
    const duration longest =
        duration(static_cast<std::int64_t>(gain / (1 + question.m_idle_price))) - question.m_waited;
    // While a start elsewhere would still be on time, the wait may not make it late.
    const duration spare = question.m_slack - longer;
    return wait_up_to(spare > duration(0) ? std::min(longest, spare) : longest, place_reason::gain);
}

place_decision decide_by_rule(wait_rule rule, duration fixed_wait, const place_question& question)
{
    if (rule == wait_rule::expected_gain ||
        (question.m_room_in && *question.m_room_in <= duration(0))) {
        return decide_place(question);
    }
    if (rule == wait_rule::none || !question.m_room_in) {
        return second_best(place_reason::fixed_wait);
    }
    const duration longest = rule == wait_rule::fixed_time
                                 ? fixed_wait
                                 : question.m_time_elsewhere - question.m_time_here;
    return wait_up_to(longest - question.m_waited, place_reason::fixed_wait);
}

std::string_view to_text(place_reason reason)
{
    switch (reason) {
    case place_reason::has_room:
        return "has_room";
    case place_reason::gain:
        return "gain";
    case place_reason::only_in_time:
        return "only_in_time";
    case place_reason::no_room:
        return "no_room";
    case place_reason::no_gain:
        return "no_gain";
    case place_reason::urgent:
        return "urgent";
    case place_reason::waited_enough:
        return "waited_enough";
    case place_reason::fixed_wait:
        return "fixed_wait";
    }
    return "unknown";
}

void add_wait(wait_history& history, duration expected, duration measured, bool found_room)
{
    const auto compared =
        static_cast<double>(std::max<duration>(expected, min_compared_wait).count());
    const double ratio = std::clamp(static_cast<double>(measured.count()) / compared,
                                    min_wait_ratio, max_wait_ratio);
    if (!found_room && ratio <= history.m_ratio) {
        return;
    }
    ++history.m_samples;
    history.m_ratio += wait_weight * (ratio - history.m_ratio);
}

} // namespace guavabay
