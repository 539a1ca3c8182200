#include "command_line.h"
#include "core/access_key.h"
#include "ctl/admin_client.h"
#include "ctl/explain_flow.h"
#include "ctl/session.h"
#include "ctl/top.h"

#include <sodium.h>

#include <array>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

#include <unistd.h>

DEFINE_string(daemons, "127.0.0.1:7070",
              "administration addresses of daemons, separated by commas, tried in order");
DEFINE_string(key_file, "", "file that holds the key of an operator or a tenant");
DEFINE_string(change_id, "", "id of the change; asking again with the same id is harmless");
DEFINE_int64(expect, -1, "refuse the change where the newest revision is another one");
DEFINE_bool(dry_run, false, "show what a change would do, and do nothing");
DEFINE_bool(json, false, "print results as JSON");
DEFINE_bool(keep_going, false, "let a script go on after a statement that failed");
DEFINE_int32(timeout_seconds, 40, "longest wait for one daemon, in seconds");
DEFINE_int32(refresh_seconds, 2, "time between two screens of top, in seconds");
DEFINE_int32(rounds, 0, "screens of top before it ends; 0 for no end");
DEFINE_bool(hash_key, false, "print the hash of the key in --key_file and end");

namespace {

using namespace baobabtrail;
using namespace baobabtrail::ctl;
using language::Status;

constexpr const char *Usage = R"(baobabctl asks and commands a baobabtrail system

  baobabctl [flags] STATEMENT        one statement from the arguments
  baobabctl [flags] < SCRIPT         one statement on each line
  baobabctl [flags] top              a screen of one daemon that refreshes
  baobabctl explain flow ID < LOGS   the story of one flow, from the logs of all daemons
  baobabctl --hash_key --key_file F  the hash that declares a tenant's key

Examples:
  baobabctl --key_file operator.key show targets where state = draining
  baobabctl --key_file operator.key --change_id d1 drain target alexandria/lending/t1
  baobabctl --key_file operator.key wait for change d1 timeout 10s
  baobabctl --key_file operator.key help

Exit status: 0 done, 1 refused, 2 usage, 3 outcome unknown, 4 no daemon answered.)";

/// \return The first line of the file.
/// \throws std::runtime_error if the file can't be read or its first line is empty.
[[nodiscard]] std::string readKey(const std::string &path)
{
    std::ifstream file(path);
    std::string key;
    if (!std::getline(file, key) || key.empty())
        throw std::runtime_error("--key_file: no key can be read from '" + path + "'");
    return key;
}

[[nodiscard]] std::vector<Endpoint> readDaemons(const std::string &list)
{
    std::vector<Endpoint> daemons;
    std::istringstream items(list);
    std::string item;
    while (std::getline(items, item, ',')) {
        const auto endpoint = parseEndpoint(item);
        if (!endpoint) {
            throw std::runtime_error("--daemons: '" + item
                                     + "' is not an address such as 127.0.0.1:7070");
        }
        daemons.push_back(*endpoint);
    }
    if (daemons.empty())
        throw std::runtime_error("--daemons: the list of addresses is empty");
    return daemons;
}

[[nodiscard]] std::string randomChangeId()
{
    constexpr std::size_t bytesOfId = 8;
    std::array<unsigned char, bytesOfId> bytes{};
    randombytes_buf(bytes.data(), bytes.size());
    std::array<char, 2 * bytesOfId + 1> digits{};
    sodium_bin2hex(digits.data(), digits.size(), bytes.data(), bytes.size());
    return digits.data();
}

[[nodiscard]] SessionOptions sessionOptions()
{
    SessionOptions options;
    options.json = FLAGS_json;
    options.dryRun = FLAGS_dry_run;
    options.keepGoing = FLAGS_keep_going;
    options.changeId = FLAGS_change_id;
    if (FLAGS_expect >= 0)
        options.expected = static_cast<std::uint64_t>(FLAGS_expect);
    return options;
}

[[nodiscard]] std::string joinedArguments(int count, char **arguments)
{
    std::string statement;
    for (int i = 1; i < count; ++i) {
        if (!statement.empty())
            statement += ' ';
        statement += arguments[i];
    }
    return statement;
}

/// \brief Refreshes the screen of "top" until --rounds screens are printed or a query fails.
[[nodiscard]] Status runTop(const Session::Execute &execute)
{
    constexpr const char *clearScreen = "\033[H\033[2J";
    for (int round = 0; FLAGS_rounds == 0 || round < FLAGS_rounds; ++round) {
        if (round > 0)
            std::this_thread::sleep_for(std::chrono::seconds{FLAGS_refresh_seconds});
        const std::optional<std::string> screen = topScreen(execute);
        if (!screen)
            return Status::Unreachable;
        if (isatty(STDOUT_FILENO) != 0)
            std::cout << clearScreen;
        std::cout << *screen << std::flush;
    }
    return Status::Done;
}

[[nodiscard]] Status run(const std::string &statement)
{
    if (FLAGS_hash_key) {
        std::cout << accessKeyHash(readKey(FLAGS_key_file)) << '\n';
        return Status::Done;
    }
    constexpr std::string_view explain = "explain flow ";
    if (statement.starts_with(explain)) {
        const std::string_view flow = std::string_view{statement}.substr(explain.size());
        return explainFlow(std::cin, flow, std::cout) ? Status::Done : Status::Refused;
    }
    const std::string key = FLAGS_key_file.empty() ? std::string{} : readKey(FLAGS_key_file);
    AdminClient client(readDaemons(FLAGS_daemons), key,
                       std::chrono::seconds{FLAGS_timeout_seconds});
    const auto execute = [&client](const Call &call) {
        auto reply = client.execute(call);
        for (const std::string &failure : client.failures())
            std::cerr << failure << '\n';
        return reply;
    };
    if (statement == "top")
        return runTop(execute);
    Session session(sessionOptions(), execute, randomChangeId, std::cout, std::cerr);
    if (!statement.empty())
        return session.run(statement);
    return session.runScript(std::cin, isatty(STDIN_FILENO) != 0);
}

} // namespace

int main(int argc, char **argv)
{
    readFlags(argc, argv, Usage);
    try {
        if (sodium_init() < 0)
            throw std::runtime_error("libsodium can't be initialized");
        return static_cast<int>(run(joinedArguments(argc, argv)));
    } catch (const std::exception &error) {
        std::cerr << "baobabctl: " << error.what() << '\n';
        return static_cast<int>(Status::Usage);
    }
}
