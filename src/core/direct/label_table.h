#pragma once

#include "core/direct/segment.h"

#include <optional>
#include <unordered_map>

namespace baobabtrail {

/// \brief Maps flow labels to the registered targets.
///
/// Labels are hashes of the target ids, so that all daemons find the same target without exchanging
/// any state. Among 4,400 targets, two share a hash with a probability of 0.2%. A label that names
/// two targets is never written. Where a daemon with another view of the targets wrote such a
/// label, the lookup finds nothing: the caller retransmits, and no segment reaches a wrong target.
class LabelTable
{
public:
    void add(TargetId target);
    void remove(TargetId target);

    /// \return A label that names this target and no other one, or nothing where there is none.
    [[nodiscard]] std::optional<FlowLabel> labelOf(TargetId target) const;
    /// \return The target that the label names, or nothing where it names none or several.
    [[nodiscard]] std::optional<TargetId> find(FlowLabel label) const;

private:
    std::unordered_multimap<FlowLabel, TargetId> m_targets;
};

} // namespace baobabtrail
