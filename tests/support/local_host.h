#pragma once

#include <memory>
#include <string>
#include <unistd.h>
#include <vector>

#include "dispatch/dispatcher.h"
#include "net/address.h"
#include "net/asio.h"

namespace guavabay::test {

/// A free port on loopback, for servers whose address has to be known before they are created. Lies
/// below the range of ports that other processes get for their connections.
inline ip_address free_address(asio::io_context& context)
{
    constexpr int first_port = 20000;
    constexpr int port_count = 10000;
    static int next = static_cast<int>(getpid()) * 16;
    while (true) {
        const auto port = static_cast<std::uint16_t>(first_port + next++ % port_count);
        const asio::ip::tcp::endpoint endpoint(asio::ip::make_address("127.0.0.1"), port);
        asio::ip::tcp::acceptor probe(context, endpoint.protocol());
        error_code error;
        probe.set_option(asio::socket_base::reuse_address(true), error);
        probe.bind(endpoint, error);
        if (!error) {
            return {endpoint.address(), port};
        }
    }
}

/// An address with its port, as settings and messages carry it.
inline std::string to_text(const ip_address& address)
{
    return address.m_ip.to_string() + ":" + std::to_string(address.m_port);
}

/// An entry host with loopback addresses.
struct local_host {
    local_host(asio::io_context& context, const std::string& name, const ip_address& store,
               std::vector<std::string> seeds, revocation_rule revocation = {})
        : m_peer_address(free_address(context)), m_readiness_address(free_address(context)),
          m_metrics_address(free_address(context)), m_caller_address(free_address(context))
    {
        host_settings settings;
        settings.m_host = host_id(name);
        settings.m_zone = zone_id("zone-a");
        settings.m_caller_address = m_caller_address;
        settings.m_readiness_address = m_readiness_address;
        settings.m_peer_address = m_peer_address;
        settings.m_metrics_address = m_metrics_address;
        settings.m_store_address = store;
        settings.m_seeds = std::move(seeds);
        settings.m_revocation = revocation;
        m_host = std::make_unique<dispatcher>(context, std::move(settings));
        m_host->start();
    }

    ip_address m_peer_address;
    ip_address m_readiness_address;
    ip_address m_metrics_address;
    ip_address m_caller_address;
    std::unique_ptr<dispatcher> m_host;
};

} // namespace guavabay::test
