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

std::uint64_t source_of(const asio::ip::address& address)
{
    if (address.is_v4()) {
        return address.to_v4().to_uint();
    }
    const asio::ip::address_v6 number = address.to_v6();
    if (number.is_v4_mapped()) {
        return asio::ip::make_address_v4(asio::ip::v4_mapped, number).to_uint();
    }
    const auto bytes = number.to_bytes();
    std::uint64_t source = 0;
    for (std::size_t i = 0; i < sizeof source; ++i) {
        source = source << 8U | bytes.at(i);
    }
    return source;
}

} // namespace guavabay
