#pragma once

namespace guavabay::http_status {

inline constexpr unsigned ok = 200;
inline constexpr unsigned bad_request = 400;
inline constexpr unsigned unauthorized = 401;
inline constexpr unsigned forbidden = 403;
inline constexpr unsigned not_found = 404;
inline constexpr unsigned method_not_allowed = 405;
inline constexpr unsigned request_timeout = 408;
inline constexpr unsigned conflict = 409;
inline constexpr unsigned gone = 410;
inline constexpr unsigned precondition_failed = 412;
inline constexpr unsigned too_large = 413;
inline constexpr unsigned misdirected = 421;
inline constexpr unsigned too_many_requests = 429;
inline constexpr unsigned header_too_large = 431;
inline constexpr unsigned server_error = 500;
inline constexpr unsigned unavailable = 503;
inline constexpr unsigned gateway_timeout = 504;

} // namespace guavabay::http_status
