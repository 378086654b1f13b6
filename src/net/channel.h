#pragma once

#include <atomic>
#include <functional>

#include "core/bounded_ring.h"
#include "net/asio.h"

namespace guavabay {

/// A bounded ring into a thread that runs an io_context. The consumer is woken once for any
/// number of values.
template <typename Value>
class channel {
public:
    /// Makes a channel of a capacity into the thread of the given context.
    channel(asio::io_context& consumer, std::size_t capacity)
        : m_ring(capacity), m_consumer(consumer)
    {
    }

    /// Sets the function that receives each value on the consumer's thread, and one that follows
    /// the last value of each batch. Called before the first value is sent.
    void set_handler(std::function<void(Value&)> handler, std::function<void()> after_batch = {})
    {
        m_handler = std::move(handler);
        m_after_batch = std::move(after_batch);
    }

    /// Sends a value from the one producing thread; false when the ring is full.
    bool try_send(Value&& value)
    {
        if (!m_ring.try_push(std::move(value))) {
            return false;
        }
        if (!m_wake_pending.exchange(true)) {
            asio::post(m_consumer, [this] { drain(); });
        }
        return true;
    }

private:
    void drain()
    {
        m_wake_pending.store(false);
        Value value;
        while (m_ring.try_pop(value)) {
            m_handler(value);
        }
        if (m_after_batch) {
            m_after_batch();
        }
    }

    bounded_ring<Value> m_ring;
    asio::io_context& m_consumer;
    std::function<void(Value&)> m_handler;
    std::function<void()> m_after_batch;
    std::atomic<bool> m_wake_pending{false};
};

} // namespace guavabay
