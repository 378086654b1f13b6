#pragma once

#include <atomic>
#include <cstddef>
#include <utility>
#include <vector>

#include "core/check.h"

namespace guavabay {

/// Queue of fixed capacity from one producing thread to one consuming thread. All cells are
/// allocated at construction; values move through without copies.
template <typename Value>
class bounded_ring {
public:
    /// Makes a ring that holds at most the given number of values.
    explicit bounded_ring(std::size_t capacity) : m_cells(capacity + 1)
    {
        check(capacity > 0, "ring capacity is positive");
    }

    /// Appends a value; false when the ring is full, and the value is then left as it was.
    bool try_push(Value&& value)
    {
        const std::size_t tail = m_tail.load(std::memory_order_relaxed);
        const std::size_t next = following(tail);
        if (next == m_head.load(std::memory_order_acquire)) {
            return false;
        }
        m_cells[tail] = std::move(value);
        m_tail.store(next, std::memory_order_release);
        return true;
    }

    /// Takes the oldest value; false when the ring is empty.
    bool try_pop(Value& value)
    {
        const std::size_t head = m_head.load(std::memory_order_relaxed);
        if (head == m_tail.load(std::memory_order_acquire)) {
            return false;
        }
        value = std::move(m_cells[head]);
        m_head.store(following(head), std::memory_order_release);
        return true;
    }

private:
    [[nodiscard]] std::size_t following(std::size_t index) const
    {
        return index + 1 == m_cells.size() ? 0 : index + 1;
    }

    std::vector<Value> m_cells;
    alignas(64) std::atomic<std::size_t> m_head{0};
    alignas(64) std::atomic<std::size_t> m_tail{0};
};

} // namespace guavabay
