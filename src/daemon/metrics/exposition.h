#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace baobabtrail::daemon {

/// \brief Name and value of a sample's label, for example tenant="alexandria".
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
    /// \brief Starts a metric family; the samples that follow belong to it.
    /// \param type "counter", "gauge" or "histogram".
    void family(std::string_view name, std::string_view type, std::string_view help);
    void sample(const Labels &labels, double value) { sample({}, labels, value); }
    /// \param suffix Appended to the family's name, for example "_bucket".
    void sample(std::string_view suffix, const Labels &labels, double value);

    /// \return The page; the exposition is empty afterwards.
    [[nodiscard]] std::string take() noexcept { return std::move(m_text); }

private:
    std::string m_name;
    std::string m_text;
};

} // namespace baobabtrail::daemon
