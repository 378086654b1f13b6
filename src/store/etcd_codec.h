#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "store/store.h"

namespace guavabay {

/// A call as the JSON gateway expects it.
struct etcd_request {
    std::string m_target;
    std::string m_body;
};

/// The request that carries out a call.
etcd_request encode_call(const store_call& call, const std::string& prefix);

/// The result of a call from the gateway's answer; unknown when the answer makes no sense.
store_result decode_result(const store_call& call, std::string_view body,
                           const std::string& prefix);

/// Records in one page of a full reading.
inline constexpr std::size_t page_records = 500;

/// The request that reads one page of the records under a prefix, after the given key, as they
/// were at a position of the history; position zero stands for the present.
etcd_request encode_read_page(const std::string& prefix, const std::string& after,
                              revision position);

/// The request that reads only the newest record under a prefix.
etcd_request encode_read_newest(const std::string& prefix);

/// The records of a reading; empty with a reason when malformed.
std::optional<store_update> decode_range(std::string_view body, const std::string& prefix);

/// The request that watches a prefix from a position of the history on.
etcd_request encode_watch(const std::string& prefix, revision from);

/// The records of one line of a watch; empty with a reason when malformed.
std::optional<store_update> decode_watch_line(std::string_view line, const std::string& prefix);

} // namespace guavabay
