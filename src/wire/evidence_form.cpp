#include "wire/evidence_form.h"

#include "wire/evidence.pb.h"

#include <algorithm>
#include <limits>
#include <map>

namespace baobabtrail::wire {

namespace {

constexpr int NumbersPerReport = 6;

[[nodiscard]] std::uint32_t milliseconds(Duration duration) noexcept
{
    constexpr Duration::rep most = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::clamp<Duration::rep>(duration / 1ms, 0, most));
}

/// \return The report at that place, or nothing where it refers to what isn't there.
[[nodiscard]] std::optional<EvidenceReport> reportAt(const pb::EvidenceReports &in, int index)
{
    const auto number
        = [&in, index](int which) { return in.numbers(NumbersPerReport * index + which); };
    const auto reporter = number(0);
    const auto domain = number(1);
    const auto sign = number(3);
    if (reporter >= static_cast<std::uint32_t>(in.reporters_size())
        || domain >= static_cast<std::uint32_t>(in.domains_size()) || sign > 1)
        return std::nullopt;
    return EvidenceReport{.target = TargetId{in.targets(index)},
                          .reporter = ReporterId{in.reporters(static_cast<int>(reporter))},
                          .domain = DomainKey{in.domains(static_cast<int>(domain))},
                          .sequence = number(2),
                          .sign = sign == 1 ? TargetSign::Alive : TargetSign::Silent,
                          .age = std::chrono::milliseconds{number(4)},
                          .lasts = std::chrono::milliseconds{number(5)}};
}

} // namespace

std::string encodeEvidence(const EvidenceMessage &message)
{
    pb::EvidenceReports out;
    std::map<ReporterId, int> reporters;
    std::map<DomainKey, int> domains;
    for (const EvidenceReport &report : message.reports) {
        const auto [reporter, isNewReporter]
            = reporters.try_emplace(report.reporter, out.reporters_size());
        if (isNewReporter)
            out.add_reporters(report.reporter.value());
        const auto [domain, isNewDomain] = domains.try_emplace(report.domain, out.domains_size());
        if (isNewDomain)
            out.add_domains(report.domain.value());
        out.add_targets(report.target.value());
        out.add_numbers(static_cast<std::uint32_t>(reporter->second));
        out.add_numbers(static_cast<std::uint32_t>(domain->second));
        out.add_numbers(report.sequence);
        out.add_numbers(report.sign == TargetSign::Alive ? 1 : 0);
        out.add_numbers(milliseconds(report.age));
        out.add_numbers(milliseconds(report.lasts));
    }
    return out.SerializeAsString();
}

std::optional<EvidenceMessage> decodeEvidence(std::string_view bytes)
{
    pb::EvidenceReports in;
    if (bytes.size() > MaxEvidenceBytes
        || !in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return std::nullopt;
    if (in.targets_size() == 0 || in.numbers_size() != NumbersPerReport * in.targets_size())
        return std::nullopt;
    EvidenceMessage message;
    for (int index = 0; index < in.targets_size(); ++index) {
        const auto report = reportAt(in, index);
        if (!report)
            return std::nullopt;
        message.reports.push_back(*report);
    }
    return message;
}

} // namespace baobabtrail::wire
