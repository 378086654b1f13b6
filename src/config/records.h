#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "broker/endpoint_table.h"
#include "config/epoch_member.h"
#include "contract/contract.h"
#include "core/ids.h"

namespace guavabay {

/// First part of the keys of contracts.
inline constexpr std::string_view contract_prefix = "contract/";
/// First part of the keys of endpoint listings, which the platform writes.
inline constexpr std::string_view endpoint_prefix = "endpoint/";
/// First part of the keys of entry hosts, which live under a lease.
inline constexpr std::string_view member_prefix = "member/";
/// First part of the keys of proofs of departure.
inline constexpr std::string_view proof_prefix = "proof/";
/// First part of the keys of the fleet's hosts.
inline constexpr std::string_view host_prefix = "host/";
/// First part of the keys of what the platform reports of the fleet's hosts.
inline constexpr std::string_view report_prefix = "report/";
/// Key of the maintenance wave under way.
inline constexpr std::string_view wave_key = "wave";
/// Key of the duty of moving and maintaining hosts.
inline constexpr std::string_view fleet_duty_key = "duty/fleet";
/// Key of the agreed list of entry hosts that own idempotency keys.
inline constexpr std::string_view epoch_key = "epoch";

/// An earlier change of a contract.
struct contract_change {
    operation_id m_operation;
    revision m_revision;
};

/// A contract as the store keeps it, with who changed it and by which operation.
struct contract_record {
    contract m_terms;
    bool m_ended = false;
    operation_id m_operation;
    std::string m_operator;
    wall_time m_changed_at{};
    std::vector<contract_change> m_history; ///< Newest last; of limited length.
};

/// Reads a contract record; empty with a reason when it is malformed.
std::optional<contract_record> parse_contract_record(const std::string& value);

/// Writes a contract record.
std::string format_contract_record(const contract_record& record);

/// Reads an endpoint listing from its key and value; empty with a reason when malformed.
std::optional<endpoint_listing> parse_endpoint(const std::string& key, const std::string& value);

/// Writes an endpoint listing's value.
std::string format_endpoint(const endpoint_listing& listing);

/// The agreed list of entry hosts that own idempotency keys.
struct epoch_record {
    epoch m_number;
    std::vector<epoch_member> m_members;
    std::vector<epoch_member> m_previous; ///< Members of the epoch before.
};

/// Reads an epoch record; empty with a reason when malformed.
std::optional<epoch_record> parse_epoch(const std::string& value);

/// Writes an epoch record.
std::string format_epoch(const epoch_record& record);

/// Says why a value cannot be used under a key; empty when it can.
std::string validate_record(const std::string& key, const std::string& value);

/// The key of a customer's contract.
std::string contract_key(const customer_id& customer);

} // namespace guavabay
