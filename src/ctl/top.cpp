#include "ctl/top.h"

#include "ctl/render.h"

#include <algorithm>
#include <array>

namespace baobabtrail::ctl {

namespace {

constexpr std::string_view Prefix = "baobabtrail_";
/// Metrics of both kinds of daemon, with and without direct forwarding; a page has those of its
/// kind.
constexpr std::array<std::string_view, 20> Shown{"config_revision",
                                                 "config_age_seconds",
                                                 "members_alive",
                                                 "owned_targets",
                                                 "requests_held",
                                                 "running_attempts",
                                                 "owned_imbalance",
                                                 "requests_total",
                                                 "flows_total",
                                                 "flow_resets_total",
                                                 "request_refusals_total",
                                                 "ready",
                                                 "config_version",
                                                 "view_revision",
                                                 "view_age_seconds",
                                                 "flows",
                                                 "followers",
                                                 "segments_total",
                                                 "domain_load",
                                                 "domain_share"};
constexpr std::size_t MaxTargets = 20;

[[nodiscard]] bool isShown(std::string_view name)
{
    return std::any_of(Shown.begin(), Shown.end(), [&](std::string_view shown) {
        const std::string_view rest = name.substr(0, shown.size());
        return rest == shown
               && (name.size() == shown.size() || name[shown.size()] == '{'
                   || name[shown.size()] == ' ');
    });
}

[[nodiscard]] std::optional<language::Result> ask(const Session::Execute &execute,
                                                  const std::string &statement)
{
    Call call;
    call.text = statement;
    const std::optional<Reply> reply = execute(call);
    if (!reply || reply->httpStatus != 200)
        return std::nullopt;
    return readResult(reply->body);
}

/// \return The number in a cell, or -1 where the cell holds none, which sorts it last.
[[nodiscard]] int countIn(const std::string &cell)
{
    if (cell.empty() || cell.find_first_not_of("0123456789") != std::string::npos)
        return -1;
    return std::stoi(cell.substr(0, 9));
}

/// \brief Sorts the rows by a column, largest number first, and drops all after the first \a most.
void keepLargest(language::Result &result, std::string_view column, std::size_t most)
{
    const auto found = std::find(result.columns.begin(), result.columns.end(), column);
    if (found == result.columns.end())
        return;
    const auto index = static_cast<std::size_t>(found - result.columns.begin());
    std::stable_sort(result.rows.begin(), result.rows.end(), [&](const auto &a, const auto &b) {
        return countIn(a[index]) > countIn(b[index]);
    });
    if (result.rows.size() > most)
        result.rows.resize(most);
}

} // namespace

std::vector<std::string> selectMetrics(std::string_view page)
{
    std::vector<std::string> lines;
    while (!page.empty()) {
        const auto end = std::min(page.find('\n'), page.size());
        const std::string_view line = page.substr(0, end);
        page.remove_prefix(std::min(end + 1, page.size()));
        if (!line.starts_with(Prefix))
            continue;
        const std::string_view name = line.substr(Prefix.size());
        if (isShown(name))
            lines.emplace_back(name);
    }
    return lines;
}

std::optional<std::string> topScreen(const Session::Execute &execute)
{
    const auto metrics = ask(execute, "show metrics");
    const auto drains = ask(execute, "show drains");
    auto targets = ask(execute, "show targets");
    if (!metrics || !drains || !targets)
        return std::nullopt;

    std::string screen;
    for (const std::string &message : metrics->messages) {
        for (const std::string &line : selectMetrics(message))
            screen += line + '\n';
    }
    if (!drains->rows.empty())
        screen += "\nleaving:\n" + renderText(*drains);
    keepLargest(*targets, "running", MaxTargets);
    screen += "\ntargets:\n" + renderText(*targets);
    return screen;
}

} // namespace baobabtrail::ctl
