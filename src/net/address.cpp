#include "net/address.h"

#include <charconv>

#include "core/result.h"

namespace guavabay {

std::optional<ip_address> parse_address(const std::string& text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return fail("'" + text + "' is not IP:PORT");
    }
    std::string host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    error_code error;
    ip_address address;
    address.m_ip = asio::ip::make_address(host, error);
    const char* first = text.data() + colon + 1;
    const char* last = text.data() + text.size();
    const auto [end, status] = std::from_chars(first, last, address.m_port);
    if (error || status != std::errc() || end != last) {
        return fail("'" + text + "' is not IP:PORT");
    }
    return address;
}

} // namespace guavabay
