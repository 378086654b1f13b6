#include "entry_host.h"

#include <array>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "http_server.h"

namespace review {

namespace {

std::string free_address()
{
    return "127.0.0.1:" + std::to_string(find_free_port());
}

} // namespace

entry_host::entry_host(std::string name, std::string folder)
    : m_name(std::move(name)), m_folder(std::move(folder)), m_caller(free_address()),
      m_readiness(free_address()), m_peer(free_address())
{
}

entry_host::~entry_host()
{
    if (m_process > 0) {
        kill(m_process, SIGKILL);
        waitpid(m_process, nullptr, 0);
    }
}

void entry_host::start(const std::string& program, const std::string& store_address,
                       const std::vector<std::string>& seeds)
{
    std::string seed_list;
    for (const std::string& seed : seeds) {
        seed_list += (seed_list.empty() ? "" : ",") + seed;
    }
    const std::string settings = m_folder + "/" + m_name + ".json";
    std::ofstream(settings) << "{\"host\":\"" << m_name << "\",\"zone\":\"zone-a\","
                            << "\"caller-address\":\"" << m_caller << "\","
                            << "\"readiness-address\":\"" << m_readiness << "\","
                            << "\"peer-address\":\"" << m_peer << "\","
                            << "\"store-address\":\"" << store_address << "\","
                            << "\"seeds\":\"" << seed_list << "\","
                            << "\"least-lease-ms\":\"1000\",\"grace-seconds\":\"6\","
                            << "\"longest-hold-ms\":\"10000\",\"stop-ms\":\"900\","
                            << "\"drain-ms\":\"2000\",\"notice-ms\":\"4500\","
                            << "\"status-seconds\":\"120\",\"early-ms\":\"250\","
                            << "\"impact-ms\":\"4000\",\"pace-ms\":\"100\","
                            << "\"remote-factor\":\"1.5\",\"processor-share\":\"0.25\","
                            << "\"processor-speed\":\"1\",\"link-megabits\":\"1000\","
                            << "\"first-start\":\"true\"}\n";
    const std::string log = m_folder + "/" + m_name + ".log";
    const std::string variable = "GUAVABAY_SETTINGS=" + settings;
    const char* path = std::getenv("PATH");
    const std::string path_variable = std::string("PATH=") + (path != nullptr ? path : "");
    m_process = fork();
    if (m_process == 0) {
        // The host ends with the scenario, also if that is killed.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        // The sockets of the stand-ins must not stay open in the host.
        close_range(STDERR_FILENO + 1, ~0U, 0);
        std::string dispatch = "dispatch";
        std::string name = program;
        std::string first = variable;
        std::string second = path_variable;
        const std::array<char*, 3> arguments{name.data(), dispatch.data(), nullptr};
        const std::array<char*, 3> environment{first.data(), second.data(), nullptr};
        execve(program.c_str(), arguments.data(), environment.data());
        _exit(127);
    }
}

void entry_host::signal(int number) const
{
    if (m_process > 0) {
        kill(m_process, number);
    }
}

bool entry_host::has_ended()
{
    if (m_process > 0 && waitpid(m_process, nullptr, WNOHANG) == m_process) {
        m_process = 0;
    }
    return m_process == 0;
}

} // namespace review
