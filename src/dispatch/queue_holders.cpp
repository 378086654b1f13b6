#include "dispatch/queue_holders.h"

#include <algorithm>
#include <utility>

#include "core/result.h"
#include "dispatch/ownership.h"
#include "log/log.h"
#include "platform/store_calls.h"

namespace guavabay {

namespace {

/// Time limit of a call to the store.
constexpr milliseconds call_timeout{1000};

/// Time limit of an inquiry. An owner that starts up or is being replaced takes longer, so that the
/// caller is told to return.
constexpr milliseconds inquiry_timeout{1000};

/// Retry-After while an owner that may know an id cannot be reached: about the time in which a lost
/// owner is replaced.
constexpr std::uint32_t retry_after_inquiry_s = 3;

/// Interval at which calls wait for one that is under way.
constexpr milliseconds busy_poll_interval{5};

} // namespace

queue_holders::queue_holders(asio::io_context& context, store_client& store,
                             const holder_table& table, service_id shard, revision token,
                             inquiry_sender send)
    : m_context(context), m_store(store), m_table(table), m_shard(std::move(shard)), m_token(token),
      m_send(std::move(send))
{
}

asio::awaitable<void> queue_holders::wait_while_busy(queue_id queue)
{
    asio::steady_timer timer(m_context);
    error_code ignored;
    while (m_queues[queue].m_busy) {
        timer.expires_after(busy_poll_interval);
        co_await timer.async_wait(to_coroutine(ignored));
    }
}

asio::awaitable<bool> queue_holders::record(queue_id queue)
{
    if (m_queues[queue].m_recorded) {
        co_return true;
    }
    if (m_queues[queue].m_busy) {
        co_await wait_while_busy(queue);
        if (m_queues[queue].m_recorded) {
            co_return true;
        }
        if (m_queues[queue].m_busy) {
            fail("the record of the queue's shard is being written");
            co_return false;
        }
    }
    m_queues[queue].m_busy = true;
    const bool recorded = co_await read_and_write(queue);
    queue_state& state = m_queues[queue];
    state.m_busy = false;
    state.m_recorded = recorded;
    co_return recorded;
}

asio::awaitable<bool> queue_holders::read(queue_id queue)
{
    m_queues[queue].m_noted.clear();
    http_call call = platform::encode_range(holder_prefix(queue), "", false);
    const http_answer answer = co_await m_store.call(std::move(call), call_timeout);
    const range_result page = platform::decode_range(answer);
    if (!page.m_ok) {
        co_return false;
    }
    queue_state& state = m_queues[queue];
    state.m_revision = revision();
    state.m_others = state.m_noted;
    holder_table found;
    for (const store_item& item : page.m_items) {
        add_holder(found, item.m_key, item.m_value);
        if (item.m_key == holder_key(queue, m_shard)) {
            state.m_revision = item.m_revision;
        }
    }
    state.m_others.merge(holders_of(found, queue));
    state.m_others.erase(m_shard);
    co_return true;
}

asio::awaitable<bool> queue_holders::read_and_write(queue_id queue)
{
    // A record that is read was written by a former owner, whose calls can no longer take effect.
    if (!co_await read(queue)) {
        co_return false;
    }
    if (m_queues[queue].m_revision != revision() && !m_queues[queue].m_removal_ordered) {
        co_return true;
    }
    store_commit commit;
    commit.m_guards.emplace_back(owner_key(m_shard), m_token);
    commit.m_puts.push_back({holder_key(queue, m_shard), queue.str(), lease_id()});
    const http_answer answer = co_await m_store.call(platform::encode_commit(commit), call_timeout);
    const commit_result result = platform::decode_commit(answer);
    if (result.m_outcome != commit_outcome::done) {
        fail("the record of the queue's shard was not written");
        co_return false;
    }
    m_queues[queue].m_removal_ordered = false;
    log_info("owner: shard recorded as a holder of a queue's submissions shard=" + m_shard.str() +
             " queue=" + queue.str());
    // Another shard may have been recorded since the first reading.
    co_return co_await read(queue) && m_queues[queue].m_revision != revision();
}

asio::awaitable<void> queue_holders::remove(queue_id queue)
{
    queue_state& state = m_queues[queue];
    if (!state.m_recorded || state.m_busy) {
        co_return;
    }
    state.m_busy = true;
    state.m_recorded = false;
    state.m_removal_ordered = true;
    const std::string key = holder_key(queue, m_shard);
    store_commit commit;
    commit.m_guards.emplace_back(owner_key(m_shard), m_token);
    // The call may take effect late; it must not remove a record that was written after it.
    commit.m_guards.emplace_back(key, state.m_revision);
    commit.m_removes.push_back(key);
    const http_answer answer = co_await m_store.call(platform::encode_commit(commit), call_timeout);
    log_info("owner: shard holds no submissions of a queue any more shard=" + m_shard.str() +
             " queue=" + queue.str() + " outcome=" +
             std::to_string(static_cast<int>(platform::decode_commit(answer).m_outcome)));
    m_queues[queue].m_busy = false;
}

asio::awaitable<void> queue_holders::refresh(queue_id queue)
{
    const queue_state& state = m_queues[queue];
    const std::set<service_id> listed = holders_of(m_table, queue);
    const bool outdated =
        !std::includes(listed.begin(), listed.end(), state.m_others.begin(), state.m_others.end());
    if (!outdated || !state.m_recorded || state.m_busy) {
        co_return;
    }
    m_queues[queue].m_busy = true;
    co_await read(queue);
    m_queues[queue].m_busy = false;
}

void queue_holders::note_other(const queue_id& queue, const service_id& shard)
{
    const auto found = m_queues.find(queue);
    if (found != m_queues.end()) {
        found->second.m_others.insert(shard);
        found->second.m_noted.insert(shard);
    }
}

std::set<service_id> queue_holders::others(const queue_id& queue) const
{
    std::set<service_id> others;
    const auto found = m_queues.find(queue);
    if (found != m_queues.end()) {
        others = found->second.m_others;
    }
    // A shard that is recorded has been told of the others, or has read their records since.
    if (found == m_queues.end() || !found->second.m_recorded) {
        others.merge(holders_of(m_table, queue));
    }
    others.erase(m_shard);
    return others;
}

std::set<queue_id> queue_holders::recorded() const
{
    std::set<queue_id> queues = queues_held_by(m_table, m_shard);
    for (const auto& [queue, state] : m_queues) {
        if (state.m_recorded) {
            queues.insert(queue);
        }
    }
    return queues;
}

asio::awaitable<owner_reply> queue_holders::ask_others(holder_inquiry inquiry)
{
    owner_reply sum;
    const bool is_count = inquiry.m_subject == inquiry_subject::count;
    sum.m_answer = is_count ? owner_answer::done : owner_answer::none;
    inquiry.m_asker = m_shard;
    for (const service_id& shard : others(inquiry.m_queue)) {
        ++m_inquiry_count;
        holder_inquiry copy = inquiry;
        copy.m_service = shard;
        const owner_reply reply = co_await m_send(std::move(copy), inquiry_timeout);
        const bool has_id =
            reply.m_answer == owner_answer::done || reply.m_answer == owner_answer::forbidden;
        if (has_id && !is_count) {
            co_return reply;
        }
        if (is_count && has_id) {
            sum.m_count += reply.m_count;
        }
        else if (reply.m_answer == owner_answer::none) {
            // Also an unknown id may have been cancelled.
            sum.m_state = reply.m_state == submission_state::canceled ? reply.m_state : sum.m_state;
        }
        else {
            log_info("owner: another holder of a queue cannot tell shard=" + shard.str() +
                     " asker=" + m_shard.str() + " id=" + inquiry.m_id.str() +
                     " answer=" + std::to_string(static_cast<int>(reply.m_answer)));
            sum.m_answer = owner_answer::not_owner;
            sum.m_retry_after_s = retry_after_inquiry_s;
        }
    }
    co_return sum;
}

} // namespace guavabay
