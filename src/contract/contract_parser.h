#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "contract/contract.h"

namespace guavabay {

/// One fault in a contract's text.
struct contract_fault {
    std::string m_pointer; ///< JSON pointer to the faulty value.
    std::string m_reason;
};

/// Reads a contract from JSON and checks it whole. Gives the contract, or nothing with every
/// fault appended to the list.
std::optional<contract> parse_contract(std::string_view text, std::vector<contract_fault>& faults);

/// Writes a contract as JSON that parse_contract reads back to the same value.
std::string format_contract(const contract& terms);

/// Joins faults into one line for messages.
std::string describe(const std::vector<contract_fault>& faults);

/// Reads a moment such as 2026-12-31T00:00:00Z; empty with a reason when malformed.
std::optional<wall_time> parse_wall_time(std::string_view text);

/// Writes a moment such as 2026-12-31T00:00:00.250Z.
std::string format_wall_time(wall_time moment);

} // namespace guavabay
