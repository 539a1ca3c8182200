#include "ctl/render.h"

#include <boost/json/parse.hpp>
#include <boost/system/system_error.hpp>

#include <algorithm>
#include <stdexcept>

namespace baobabtrail::ctl {

namespace {

constexpr std::size_t ColumnGap = 2;

[[nodiscard]] std::vector<std::string> readTexts(const boost::json::value &array)
{
    std::vector<std::string> texts;
    for (const boost::json::value &value : array.as_array())
        texts.emplace_back(value.as_string());
    return texts;
}

[[nodiscard]] language::Status readStatus(const boost::json::value &value)
{
    const auto number = value.as_int64();
    const auto highest = static_cast<std::int64_t>(language::Status::Unreachable);
    if (number < 0 || number > highest)
        throw std::invalid_argument("the reply has an unknown status");
    return static_cast<language::Status>(number);
}

void appendLine(std::string &text, const std::vector<std::string> &cells,
                const std::vector<std::size_t> &widths)
{
    std::string line;
    for (std::size_t i = 0; i < cells.size(); ++i) {
        line += cells[i];
        line.append(widths[i] - cells[i].size() + ColumnGap, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + '\n';
}

} // namespace

language::Result readResult(std::string_view json)
{
    try {
        const boost::json::value value
            = boost::json::parse(boost::json::string_view(json.data(), json.size()));
        language::Result result;
        result.status = readStatus(value.at("status"));
        result.messages = readTexts(value.at("messages"));
        result.columns = readTexts(value.at("columns"));
        for (const boost::json::value &row : value.at("rows").as_array()) {
            result.rows.push_back(readTexts(row));
            if (result.rows.back().size() != result.columns.size())
                throw std::invalid_argument("the reply has a row with a wrong number of cells");
        }
        return result;
    } catch (const boost::system::system_error &error) {
        throw std::invalid_argument("the reply is not a result: " + error.code().message());
    } catch (const std::out_of_range &) {
        throw std::invalid_argument("the reply is not a result: a field is missing");
    }
}

std::string renderText(const language::Result &result)
{
    std::string text;
    for (const std::string &message : result.messages)
        text += message + '\n';
    if (result.columns.empty())
        return text;

    std::vector<std::size_t> widths;
    for (const std::string &column : result.columns)
        widths.push_back(column.size());
    for (const auto &row : result.rows) {
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    appendLine(text, result.columns, widths);
    for (const auto &row : result.rows)
        appendLine(text, row, widths);
    return text;
}

} // namespace baobabtrail::ctl
