#include <algorithm>

#include "core/result.h"
#include "dispatch/shard_owner.h"
#include "log/log.h"

// The part of a shard's owner that keeps one submission from being accepted by two shards of its
// queue. See docs/design/moved-queues.md.
namespace guavabay {

namespace {

/// Interval of reviews of the records of queues.
constexpr milliseconds holder_review_interval{1000};

} // namespace

asio::awaitable<owner_reply> shard_owner::check_is_new(queue_id queue, submission_id id,
                                                       organisation_id organisation)
{
    owner_reply reply;
    reply.m_answer = owner_answer::none;
    if (!co_await m_holders.record(queue)) {
        log_info("shard: not recorded as a holder of the queue, nothing accepted id=" + id.str() +
                 " queue=" + queue.str() + " service=" + m_shard.m_service.str() + ": " +
                 last_reason());
        reply.m_answer = owner_answer::store_away;
        reply.m_retry_after_s = retry_after_store_s;
        co_return reply;
    }
    if (m_holders.others(queue).empty()) {
        co_return reply;
    }
    bool left_to_other = false;
    const auto entry = m_ids_in_question.emplace(id, &left_to_other);
    holder_inquiry inquiry{{}, {}, queue, id, organisation, inquiry_subject::acceptance};
    reply = co_await m_holders.ask_others(std::move(inquiry));
    m_ids_in_question.erase(entry);
    if (reply.m_answer == owner_answer::none && left_to_other) {
        // The other shard may have accepted it after it was asked.
        reply.m_answer = owner_answer::not_owner;
    }
    if (reply.m_answer == owner_answer::done) {
        log_info("shard: submission is held by another shard of its queue id=" + id.str() +
                 " queue=" + queue.str() + " service=" + m_shard.m_service.str());
    }
    co_return reply;
}

owner_reply shard_owner::answer_acceptance(const holder_inquiry& inquiry)
{
    owner_reply reply;
    const submission_id& id = inquiry.m_id;
    if (!is_accessible(m_shard, id, inquiry.m_organisation)) {
        reply.m_answer = owner_answer::forbidden;
        return reply;
    }
    if (is_known(m_shard, id)) {
        const std::optional<submission_state> state = state_of(m_shard, id);
        reply.m_answer = state ? owner_answer::done : owner_answer::unknown;
        reply.m_state = state.value_or(submission_state::pending);
        return reply;
    }
    // Of two shards that ask each other about an id, the first by name goes on.
    const auto [first, last] = m_ids_in_question.equal_range(id);
    if (first != last && m_shard.m_service < inquiry.m_asker) {
        reply.m_answer = owner_answer::unknown;
        return reply;
    }
    std::for_each(first, last, [](const auto& entry) { *entry.second = true; });
    const auto early = m_shard.m_cancelled_early.find(id);
    const bool is_cancelled = early != m_shard.m_cancelled_early.end() &&
                              early->second.m_organisations.contains(inquiry.m_organisation);
    reply.m_answer = owner_answer::none;
    reply.m_state = is_cancelled ? submission_state::canceled : submission_state::pending;
    return reply;
}

asio::awaitable<owner_reply> shard_owner::answer_inquiry(holder_inquiry inquiry)
{
    if (inquiry.m_subject == inquiry_subject::acceptance) {
        m_holders.note_other(inquiry.m_queue, inquiry.m_asker);
    }
    owner_reply reply;
    if (!may_decide()) {
        reply.m_answer = owner_answer::not_owner;
        co_return reply;
    }
    switch (inquiry.m_subject) {
    case inquiry_subject::acceptance:
        co_return answer_acceptance(inquiry);
    case inquiry_subject::state:
        co_return state_here(inquiry.m_id, inquiry.m_organisation);
    case inquiry_subject::cancellation:
        co_return co_await cancel_here(inquiry.m_id, inquiry.m_organisation);
    case inquiry_subject::count:
        break;
    }
    co_return count_here(inquiry.m_queue);
}

bool shard_owner::may_hold_ids(const queue_id& queue) const
{
    const auto is_of_queue = [&queue](const auto& entry) { return entry.second.m_queue == queue; };
    return m_routed_queues.contains(queue) || !m_shard.m_cancelled_early.empty() ||
           std::any_of(m_shard.m_submissions.begin(), m_shard.m_submissions.end(),
                       [&queue](const auto& entry) { return entry.second->m_queue == queue; }) ||
           std::any_of(m_shard.m_deferred.begin(), m_shard.m_deferred.end(), is_of_queue);
}

asio::awaitable<void> shard_owner::review_holders()
{
    asio::steady_timer timer(*m_dependencies.m_context);
    while (!m_stopped) {
        for (const queue_id& queue : m_holders.recorded()) {
            if (!may_decide()) {
                break;
            }
            if (may_hold_ids(queue)) {
                co_await m_holders.refresh(queue);
            }
            else if (co_await m_holders.record(queue) && !may_hold_ids(queue)) {
                co_await m_holders.remove(queue);
            }
        }
        timer.expires_after(holder_review_interval);
        error_code ignored;
        co_await timer.async_wait(to_coroutine(ignored));
    }
}

} // namespace guavabay
