#pragma once

#include <functional>
#include <map>
#include <set>

#include "dispatch/holder_table.h"
#include "dispatch/store_client.h"
#include "peer/host_message.h"
#include "store/store_item.h"

namespace guavabay {

/// Keeps, for the owner of one shard, the store records of the shards that may hold submissions or
/// cancellations of the same queues, and asks their owners. A shard is recorded before it accepts
/// the first id of a queue, and reads the records of other shards after that, so that of two shards
/// of one queue at least one knows of the other. Must be used on the thread of its io_context.
class queue_holders {
public:
    /// Asks the owner of another shard. The answer is not_owner or unknown if it cannot be reached.
    using inquiry_sender =
        std::function<asio::awaitable<owner_reply>(holder_inquiry inquiry, milliseconds timeout)>;

    /// Creates the records' keeper for the owner with a fencing token. The store client and the
    /// table, which the host keeps up to date, have to outlive it.
    queue_holders(asio::io_context& context, store_client& store, const holder_table& table,
                  service_id shard, revision token, inquiry_sender send);

    /// Records that this shard may hold ids of a queue, unless that is known to be recorded. False,
    /// with a reason, if the store did not confirm it; then the shard must not accept an id.
    asio::awaitable<bool> record(queue_id queue);

    /// Removes this shard's record of a queue, of which it holds no id. A later record() writes it
    /// again.
    asio::awaitable<void> remove(queue_id queue);

    /// Reads the other holders of a queue again if some of them seem to have removed their records.
    asio::awaitable<void> refresh(queue_id queue);

    /// Notes that another shard has a record for a queue. Not needed, and ignored, before record():
    /// it reads the records of others.
    void note_other(const queue_id& queue, const service_id& shard);

    /// Returns the other shards that may hold ids of a queue.
    [[nodiscard]] std::set<service_id> others(const queue_id& queue) const;

    /// Returns the queues for which this shard is recorded, by this owner or a former one.
    [[nodiscard]] std::set<queue_id> recorded() const;

    /// Asks the owners of all other holders of the inquiry's queue, one after the other until one
    /// has the id. Answers done or forbidden with that owner's answer, none if all said that they
    /// don't have it, and not_owner with a time for a retry if at least one could not tell. Counts
    /// are added up.
    asio::awaitable<owner_reply> ask_others(holder_inquiry inquiry);

    /// Number of inquiries that were sent, for metrics.
    [[nodiscard]] std::uint64_t inquiry_count() const { return m_inquiry_count; }

private:
    /// What is known of the holders of one queue.
    struct queue_state {
        bool m_recorded = false;
        bool m_busy = false; ///< A call to the store about this shard's record is under way.
        revision m_revision; ///< Of this shard's record.
        /// A removal of the record was ordered, and may take effect unless the record is written
        /// again.
        bool m_removal_ordered = false;
        std::set<service_id> m_others;
        /// Others that were noted while a reading is under way; it may not show them.
        std::set<service_id> m_noted;
    };

    /// Reads the records of a queue; false, with a reason, if the store did not answer.
    asio::awaitable<bool> read(queue_id queue);
    /// Reads, and writes this shard's record if there is none.
    asio::awaitable<bool> read_and_write(queue_id queue);
    /// Waits until no call about the queue's record is under way.
    asio::awaitable<void> wait_while_busy(queue_id queue);

    asio::io_context& m_context;
    store_client& m_store;
    const holder_table& m_table; ///< May be outdated.
    service_id m_shard;
    revision m_token;
    inquiry_sender m_send;
    std::map<queue_id, queue_state> m_queues;
    std::uint64_t m_inquiry_count = 0;
};

} // namespace guavabay
