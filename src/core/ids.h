#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace guavabay {

/// A name that cannot be mixed up with a name of another kind.
template <typename Tag>
struct string_id {
    string_id() = default;
    /// Wraps a plain string.
    explicit string_id(std::string value) : m_value(std::move(value)) {}

    /// The plain string, for output.
    [[nodiscard]] const std::string& str() const { return m_value; }
    /// True when no name was given.
    [[nodiscard]] bool empty() const { return m_value.empty(); }

    auto operator<=>(const string_id&) const = default;

    /// Lets the codec read and write the name.
    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_value);
    }

    std::string m_value;
};

/// A number with a unit or a role that cannot be mixed up with another kind of number.
template <typename Tag, typename Rep>
struct number_id {
    number_id() = default;
    /// Wraps a plain number.
    explicit constexpr number_id(Rep value) : m_value(value) {}

    /// The plain number, for output and arithmetic.
    [[nodiscard]] constexpr Rep get() const { return m_value; }

    auto operator<=>(const number_id&) const = default;

    /// Lets the codec read and write the number.
    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_value);
    }

    Rep m_value{};
};

using host_id = string_id<struct host_tag>;
using zone_id = string_id<struct zone_tag>;
using rack_id = string_id<struct rack_tag>;
using customer_id = string_id<struct customer_tag>;
/// An organisation of the platform's configuration; the same idea as the customer of a contract.
using organisation_id = customer_id;
using service_id = string_id<struct service_tag>;
using endpoint_id = string_id<struct endpoint_tag>;
using pool_id = string_id<struct pool_tag>;
using task_id = string_id<struct task_tag>;
using operation_id = string_id<struct operation_tag>;

/// Position in the platform store's single history of changes; larger is newer.
using revision = number_id<struct revision_tag, std::int64_t>;
/// Distinguishes two runs of a process on one host; larger is newer.
using incarnation = number_id<struct incarnation_tag, std::uint64_t>;
/// Identifies a lease granted by the platform store.
using lease_id = number_id<struct lease_tag, std::int64_t>;
/// Numbers the agreed list of entry hosts that owns idempotency keys.
using epoch = number_id<struct epoch_tag, std::uint64_t>;

/// Identifies one request across all entry hosts: the process that took it and its count there.
struct request_id {
    auto operator<=>(const request_id&) const = default;

    /// Lets the codec read and write the id.
    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_origin, m_sequence);
    }

    std::uint64_t m_origin = 0;
    std::uint64_t m_sequence = 0;
};

/// Text form of a request id, as sent to endpoints.
std::string to_string(const request_id& id);

/// A 64-bit hash that is the same in every process and on every run.
std::uint64_t stable_hash(std::string_view text, std::uint64_t seed = 0);

/// Mixes two 64-bit values into one, the same in every process.
std::uint64_t mix(std::uint64_t left, std::uint64_t right);

} // namespace guavabay

template <typename Tag>
struct std::hash<guavabay::string_id<Tag>> {
    std::size_t operator()(const guavabay::string_id<Tag>& id) const noexcept
    {
        return std::hash<std::string>{}(id.m_value);
    }
};

template <>
struct std::hash<guavabay::request_id> {
    std::size_t operator()(const guavabay::request_id& id) const noexcept
    {
        return guavabay::mix(id.m_origin, id.m_sequence);
    }
};
