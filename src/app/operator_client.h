#pragma once

#include <optional>
#include <string>
#include <vector>

#include "app/setting.h"
#include "net/address.h"

namespace guavabay {

/// A call to an entry host's operator address.
struct operator_call {
    http::verb m_method = http::verb::get;
    std::string m_target;
    std::string m_body;
    std::vector<std::pair<std::string, std::string>> m_headers;
};

/// The answer to a call.
struct operator_reply {
    unsigned m_status = 0;
    std::string m_body;
};

/// Calls entry hosts on behalf of the command line.
class operator_client {
public:
    /// Makes a client that tries the given hosts in turn.
    operator_client(std::vector<ip_address> addresses, std::string key);

    /// Sends a call to the first host that answers; empty with a reason when none does.
    std::optional<operator_reply> call(const operator_call& wanted);

private:
    std::optional<operator_reply> call_one(const ip_address& address, const operator_call& wanted);

    std::vector<ip_address> m_addresses;
    std::string m_key;
    std::size_t m_first = 0; ///< The host that answered last.
};

/// The settings that every operator command has.
std::vector<setting> declare_operator_settings();

/// Makes a client from checked settings.
operator_client make_operator_client(const setting_values& values);

} // namespace guavabay
