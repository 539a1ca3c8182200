#pragma once

/// \file
/// \brief Child processes of a test, which it ends by their process ids.

#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstring>
#include <map>
#include <memory>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <vector>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

extern char **environ;

namespace baobabtrail::test {

/// \brief Kills the remaining child processes when the test exits. A failed assertion leaves scopes
/// without calling destructors; the processes would keep running and hold the test's output open.
class Leftovers
{
public:
    static Leftovers &instance()
    {
        static Leftovers leftovers;
        return leftovers;
    }

    ~Leftovers()
    {
        for (const pid_t id : m_ids)
            kill(id, SIGKILL);
    }

    void add(pid_t id) { m_ids.insert(id); }
    void remove(pid_t id) { m_ids.erase(id); }

private:
    std::set<pid_t> m_ids;
};

/// \brief Runs a program of the build directory and kills it at the end of the scope.
///
/// \code
/// Process platform{"standin-platform", {"--vm_lag_ms=0"}};
/// const auto port = platform.ports().at("http");
/// \endcode
class Process
{
public:
    enum class Output { Ready, Hidden, Inherited, Unread, File };

    /// \param output Where the program prints. Ready: standard output is a pipe, and the
    /// constructor waits for the line "ready NAME=PORT ..." there. Unread: standard output is a
    /// pipe that nobody reads. Hidden: standard output and error are dropped. File: both are
    /// appended to \a file. Inherited: both go to where the test prints.
    Process(const std::string &program, std::vector<std::string> arguments,
            Output output = Output::Ready, std::string file = {})
        : m_file(std::move(file))
    {
        int ends[2];
        if (pipe2(ends, O_CLOEXEC) != 0)
            throw std::runtime_error("no pipe for " + program);
        m_output.reset(fdopen(ends[0], "r"));
        spawn(program, std::move(arguments), ends[1], output);
        close(ends[1]);
        if (output == Output::Ready)
            readReady(program);
    }

    ~Process()
    {
        send(SIGKILL);
        waitForEnd();
    }

    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    [[nodiscard]] const std::map<std::string, std::uint16_t> &ports() const { return m_ports; }

    [[nodiscard]] pid_t id() const noexcept { return m_id; }

    void send(int signal) const
    {
        if (m_id > 0)
            kill(m_id, signal);
    }

    /// \return Exit status, or the negated number of the signal that ended the process.
    int waitForEnd()
    {
        if (m_id <= 0)
            return m_status;
        int status = 0;
        waitpid(m_id, &status, 0);
        Leftovers::instance().remove(m_id);
        m_id = 0;
        m_status = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
        return m_status;
    }

    /// \return Whether the process has ended; doesn't wait for it.
    [[nodiscard]] bool ended() const
    {
        siginfo_t info{};
        return m_id <= 0
               || (waitid(P_PID, static_cast<id_t>(m_id), &info, WEXITED | WNOHANG | WNOWAIT) == 0
                   && info.si_pid == m_id);
    }

    /// \brief Closes the reading end of the pipe from the program's standard output.
    void closeOutput() { m_output.reset(); }

    /// \return The next line of standard output; empty at its end.
    [[nodiscard]] std::string readLine()
    {
        std::string line;
        for (int c = std::fgetc(m_output.get()); c != EOF && c != '\n';
             c = std::fgetc(m_output.get()))
            line.push_back(static_cast<char>(c));
        return line;
    }

private:
    struct CloseFile
    {
        void operator()(FILE *file) const noexcept { std::fclose(file); }
    };

    void spawn(const std::string &program, std::vector<std::string> arguments, int pipeEnd,
               Output output)
    {
        std::string path = std::string{BAOBABTRAIL_BINARY_DIR} + '/' + program;
        std::vector<char *> argv{path.data()};
        for (std::string &argument : arguments)
            argv.push_back(argument.data());
        argv.push_back(nullptr);

        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        if (output == Output::Ready || output == Output::Unread)
            posix_spawn_file_actions_adddup2(&actions, pipeEnd, STDOUT_FILENO);
        else if (output == Output::Hidden)
            writeTo("/dev/null", actions);
        else if (output == Output::File)
            writeTo(m_file.c_str(), actions);
        // Sockets of the test that the program inherits would stay bound after the test has closed
        // them.
        posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
        const int error = posix_spawn(&m_id, path.c_str(), &actions, nullptr, argv.data(), environ);
        posix_spawn_file_actions_destroy(&actions);
        if (error != 0)
            throw std::runtime_error("can't start " + path + ": " + std::strerror(error));
        Leftovers::instance().add(m_id);
    }

    static void writeTo(const char *file, posix_spawn_file_actions_t &actions)
    {
        constexpr mode_t readableByAll = 0644;
        for (const int handle : {STDOUT_FILENO, STDERR_FILENO})
            posix_spawn_file_actions_addopen(&actions, handle, file, O_WRONLY | O_CREAT | O_APPEND,
                                             readableByAll);
    }

    void readReady(const std::string &program)
    {
        std::istringstream line{readLine()};
        std::string word;
        line >> word;
        if (word != "ready")
            throw std::runtime_error(program + " did not get ready");
        while (line >> word) {
            const auto equals = word.find('=');
            m_ports[word.substr(0, equals)]
                = static_cast<std::uint16_t>(std::stoul(word.substr(equals + 1)));
        }
    }

    std::string m_file;
    pid_t m_id = 0;
    int m_status = 0;
    std::unique_ptr<FILE, CloseFile> m_output;
    std::map<std::string, std::uint16_t> m_ports;
};

} // namespace baobabtrail::test
