#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace baobabtrail::daemon {

/// \brief A label of a sample, as tenant="alexandria".
using Label = std::pair<std::string_view, std::string_view>;
using Labels = std::vector<Label>;

/// \brief Writes a page in the Prometheus text exposition format.
///
/// \code
/// Exposition page;
/// page.family("baobabtrail_flows_total", "counter", "Flows by event.");
/// page.sample({{"event", "opened"}}, 12);
/// \endcode
class Exposition
{
public:
    /// \brief Begins a family; the samples that follow belong to it.
    void family(std::string_view name, std::string_view type, std::string_view help);
    void sample(const Labels &labels, double value) { sample({}, labels, value); }
    /// \param suffix Behind the family's name, as "_bucket".
    void sample(std::string_view suffix, const Labels &labels, double value);

    [[nodiscard]] std::string take() noexcept { return std::move(m_text); }

private:
    std::string m_name;
    std::string m_text;
};

} // namespace baobabtrail::daemon
