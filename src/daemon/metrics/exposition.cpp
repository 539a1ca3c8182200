#include "daemon/metrics/exposition.h"

#include <array>
#include <charconv>

namespace baobabtrail::daemon {

namespace {

void appendEscaped(std::string &out, std::string_view value)
{
    for (const char c : value) {
        if (c == '\n') {
            out += "\\n";
            continue;
        }
        if (c == '"' || c == '\\')
            out += '\\';
        out += c;
    }
}

void appendNumber(std::string &out, double value)
{
    std::array<char, 32> digits{};
    const auto [end, status] = std::to_chars(digits.begin(), digits.end(), value);
    if (status == std::errc{})
        out.append(digits.data(), end);
}

} // namespace

void Exposition::family(std::string_view name, std::string_view type, std::string_view help)
{
    m_name = name;
    m_text.append("# HELP ").append(name).append(" ").append(help).append("\n");
    m_text.append("# TYPE ").append(name).append(" ").append(type).append("\n");
}

void Exposition::sample(std::string_view suffix, const Labels &labels, double value)
{
    m_text.append(m_name).append(suffix);
    char separator = '{';
    for (const auto &[name, text] : labels) {
        m_text += separator;
        m_text.append(name).append("=\"");
        appendEscaped(m_text, text);
        m_text += '"';
        separator = ',';
    }
    if (!labels.empty())
        m_text += '}';
    m_text += ' ';
    appendNumber(m_text, value);
    m_text += '\n';
}

} // namespace baobabtrail::daemon
