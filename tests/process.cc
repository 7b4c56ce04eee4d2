#include "tests/process.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <iostream>
#include <spawn.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

extern char** environ; // NOLINT(readability-redundant-declaration)

namespace orioletrail::tests {

namespace {

    constexpr Millis exitPollInterval { 20 };

} // namespace

std::string binaryPath(const std::string& name)
{
    return std::string(ORIOLETRAIL_BINARIES) + "/" + name;
}

std::string localAddress(int port)
{
    return "127.0.0.1:" + std::to_string(port);
}

// All ports should lie below the ephemeral range, so that outgoing connections do not take them.
int reservePorts()
{
    constexpr int defaultPort = 21'000;
    constexpr int portsPerCluster = 150;
    static int reserved = 0;
    const char* port = std::getenv("ORIOLETRAIL_TEST_PORT");
    const char* clusters = std::getenv("ORIOLETRAIL_TEST_CLUSTERS");
    if (clusters && reserved >= std::atoi(clusters)) {
        std::cerr << "the tests start more than " << clusters << " clusters, whose ports are those of another group\n";
        std::abort();
    }
    return (port ? std::atoi(port) : defaultPort) + reserved++ * portsPerCluster;
}

Process::Process(std::vector<std::string> arguments, const ChildOptions& options)
{
    std::vector<char*> argv;
    argv.reserve(arguments.size() + 1);
    for (std::string& argument : arguments)
        argv.push_back(argument.data());
    argv.push_back(nullptr);
    std::vector<char*> environment;
    for (char** variable = environ; *variable; ++variable)
        environment.push_back(*variable);
    std::vector<std::string> extraVariables = options.environment;
    for (std::string& variable : extraVariables)
        environment.push_back(variable.data());
    environment.push_back(nullptr);
    posix_spawn_file_actions_t actions {};
    posix_spawn_file_actions_init(&actions);
    if (!options.outputFile.empty())
        posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, options.outputFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    if (options.outputDescriptor)
        posix_spawn_file_actions_adddup2(&actions, *options.outputDescriptor, STDOUT_FILENO);
    if (posix_spawn(&m_pid, argv[0], &actions, nullptr, argv.data(), environment.data()) != 0)
        m_exitCode = -1;
    posix_spawn_file_actions_destroy(&actions);
}

Process::~Process()
{
    if (m_exitCode)
        return;
    signal(SIGKILL);
    signal(SIGCONT);
    waitpid(m_pid, nullptr, 0);
}

void Process::signal(int number) const
{
    if (!m_exitCode)
        kill(m_pid, number);
}

std::optional<int> Process::wait(Millis timeout)
{
    const TimePoint until = Clock::now() + timeout;
    while (!m_exitCode && Clock::now() < until) {
        int status = 0;
        if (waitpid(m_pid, &status, WNOHANG) == m_pid)
            m_exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
        else
            std::this_thread::sleep_for(exitPollInterval);
    }
    return m_exitCode;
}

HttpResult callOnce(const std::string& address, HttpRequest request, Millis timeout)
{
    const auto parsed = parseAddress(address);
    boost::asio::io_context context;
    HttpClient client(context.get_executor(), parsed->first, parsed->second);
    HttpCall call;
    // Whole streams of stand-ins.
    call.maxBodyBytes = size_t { 64 } << 20;
    call.request = std::move(request);
    call.timeout = timeout;
    HttpResult result;
    auto run = [&]() -> Task<> { result = co_await client.call(call); };
    boost::asio::co_spawn(context, run(), boost::asio::detached);
    context.run();
    return result;
}

TemporaryDirectory::TemporaryDirectory()
{
    m_path = (std::filesystem::temp_directory_path() / "orioletrail-XXXXXX").string();
    mkdtemp(m_path.data());
}

TemporaryDirectory::~TemporaryDirectory()
{
    std::error_code ignored;
    std::filesystem::remove_all(m_path, ignored);
}

std::string sendRaw(const std::string& address, const std::string& bytes, bool halfClose)
{
    const auto parsed = parseAddress(address);
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket(context);
    boost::system::error_code ignored;
    socket.connect({ boost::asio::ip::make_address(parsed->first), parsed->second });
    boost::asio::write(socket, boost::asio::buffer(bytes), ignored);
    if (halfClose)
        socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    std::string answer;
    boost::asio::read(socket, boost::asio::dynamic_buffer(answer), ignored);
    return answer;
}

} // namespace orioletrail::tests
