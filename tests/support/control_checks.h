#pragma once

#include "core/config/log_keys.h"
#include "core/config/record_codec.h"
#include "core/control/actions.h"
#include "fake_platform.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace baobabtrail::test {

/// \brief Invariants of the change log, the configuration in force and the outcomes reported to
/// operators. They hold at any time and under any fault.
class ControlChecks
{
public:
    void proposed(ProposalId id, std::string change) { m_changeIds[id] = std::move(change); }

    void done(ProposalId id, ProposalOutcome outcome, const FakePlatform &platform)
    {
        const std::string &change = m_changeIds.at(id);
        if (std::holds_alternative<ProposalRefused>(outcome) && isInLog(change, platform))
            add("change " + change + " was in the log when it was refused");
        if (!m_outcomes.emplace(id, std::move(outcome)).second)
            add("change " + change + " got two outcomes");
    }

    void published(const std::string &who, Revision before, const ConfigPtr &config)
    {
        const Revision revision = config->revision;
        if (revision < before || (revision == before && !revision.isNull()))
            add(who + " went from revision " + std::to_string(before.value()) + " to "
                + std::to_string(revision.value()));
        const auto [known, first] = m_configs.emplace(revision, config);
        if (!first && !(*known->second == *config))
            add(who + " has another configuration at revision " + std::to_string(revision.value()));
    }

    void add(std::string violation) { m_violations.push_back(std::move(violation)); }

    [[nodiscard]] const ProposalOutcome *outcome(ProposalId id) const
    {
        const auto found = m_outcomes.find(id);
        return found == m_outcomes.end() ? nullptr : &found->second;
    }

    /// \brief Checks the log and all outcomes against each other.
    /// \return These and all earlier violations.
    [[nodiscard]] std::vector<std::string> violations(const FakePlatform &platform) const
    {
        std::vector<std::string> found = m_violations;
        for (const std::string &key : platform.recreated)
            found.push_back(key + " was created again");

        std::map<std::string, Revision> changes;
        std::uint64_t last = 0;
        for (const auto &[key, value] : platform.created) {
            const auto revision = parseLogKey(key);
            const auto decoded = decodeRecord(value, key);
            const auto *record = std::get_if<ChangeRecord>(&decoded);
            if (!revision || !record)
                continue;
            if (revision->value() != last + 1)
                found.push_back("the log has a hole before " + key);
            last = revision->value();
            if (!changes.emplace(record->changeId, *revision).second)
                found.push_back("change " + record->changeId + " is in the log twice");
        }
        for (const auto &[id, outcome] : m_outcomes)
            checkOutcome(m_changeIds.at(id), outcome, changes, found);
        return found;
    }

private:
    void checkOutcome(const std::string &change, const ProposalOutcome &outcome,
                      const std::map<std::string, Revision> &changes,
                      std::vector<std::string> &found) const
    {
        const auto entry = changes.find(change);
        const auto *accepted = std::get_if<ProposalAccepted>(&outcome);
        if (accepted && (entry == changes.end() || entry->second != accepted->revision))
            found.push_back("change " + change + " was accepted and is not in the log");
        // A refused change may be proposed again and accepted; then that outcome was reported too.
        const bool refused = std::holds_alternative<ProposalRefused>(outcome);
        if (refused && entry != changes.end() && !wasAccepted(change))
            found.push_back("change " + change + " was refused and is in the log");
    }

    [[nodiscard]] bool wasAccepted(const std::string &change) const
    {
        return std::any_of(m_outcomes.begin(), m_outcomes.end(), [&](const auto &item) {
            return std::holds_alternative<ProposalAccepted>(item.second)
                   && m_changeIds.at(item.first) == change;
        });
    }

    [[nodiscard]] static bool isInLog(const std::string &change, const FakePlatform &platform)
    {
        return std::any_of(platform.created.begin(), platform.created.end(), [&](const auto &item) {
            const auto decoded = decodeRecord(item.second, item.first);
            const auto *record = std::get_if<ChangeRecord>(&decoded);
            return parseLogKey(item.first) && record && record->changeId == change;
        });
    }

    std::map<ProposalId, std::string> m_changeIds;
    std::map<ProposalId, ProposalOutcome> m_outcomes;
    std::map<Revision, ConfigPtr> m_configs;
    std::vector<std::string> m_violations;
};

} // namespace baobabtrail::test
