#pragma once

#include <string>
#include <vector>

#include "hostile/running_program.h"

// Limits and checks that the tests with hostile clients share.
namespace guavabay::test {

inline constexpr std::size_t megabyte = 1U << 20U;

/// Memory of the machine of the tests, in MB; a process may never hold more.
inline constexpr std::size_t machine_memory_mb = 64;

/// Descriptors of the machine of the tests, and those that are not for sockets.
inline constexpr std::size_t machine_descriptors = 260;
inline constexpr std::size_t file_descriptors = 200;

/// Sockets that the machine of the tests has.
inline constexpr std::size_t max_sockets = machine_descriptors - file_descriptors;

/// Settings of a host with the memory of the machine of the tests.
inline const named_settings memory_settings{{"memory-mb", std::to_string(machine_memory_mb)}};

/// The same with its descriptors.
inline const named_settings descriptor_settings{
    {"memory-mb", std::to_string(machine_memory_mb)},
    {"max-descriptors", std::to_string(machine_descriptors)}};

/// Limits of the operator's configuration. Bodies are larger than usual, so that a small crowd is
/// enough.
inline const std::string common_limits = R"({"max-header-bytes":16384,"max-body-bytes":2097152,)"
                                         R"("header-timeout-ms":5000,"idle-timeout-ms":60000})";

inline const std::string post_header =
    "POST /queue/0123456789abcdef HTTP/1.1\r\nHost: callers.example\r\n";

/// Header of a submission whose body has a length in bytes.
std::string header_with_length(std::size_t length);

/// A complete GET request.
std::string get_request(const std::string& path);

/// A submission id from a number.
std::string make_id(std::uint64_t number);

/// A complete request that hands in a submission.
std::string submit_request_text(std::uint64_t id, const std::string& body);

/// A list with the same JSON text a number of times.
std::string repeat_json(const std::string& item, std::size_t count);

/// Response to a request; the status is zero if there was none.
struct received_answer {
    unsigned m_status = 0;
    unsigned m_retry_after_s = 0;
    std::string m_body;
};

/// Sends requests over a number of kept connections, each one after the answer to the one before,
/// and returns the answers in the order of the requests. Stops after a minute.
std::vector<received_answer> exchange(const ip_address& address,
                                      const std::vector<std::string>& requests,
                                      std::size_t connections);

/// Number of answers with a status.
std::size_t count_status(const std::vector<received_answer>& answers, unsigned status);

/// True if each answer is 200, or a refusal that says when to come back.
bool are_accepted_or_refused(const std::vector<received_answer>& answers);

/// Waits until the process has taken what was sent: the system's buffers hold megabytes for each
/// connection. Its memory and its sockets then stay as they are.
void wait_until_settled(const running_program& program);

/// Checks the process after an attack: it is alive and within its memory and its sockets.
void check_resources(running_program& program, std::size_t socket_limit,
                     std::size_t memory_mb = machine_memory_mb);

} // namespace guavabay::test
