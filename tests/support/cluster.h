#pragma once

#include "change_builder.h"
#include "fake_control_net.h"

#include <string>

namespace baobabtrail::test {

inline const TargetName T1 = targetName("lending", "t1");

[[nodiscard]] inline ChangeRecord weightChange(const std::string &id, std::uint32_t weight)
{
    return change(id, {SetWeight{T1, weight}});
}

/// \brief A FakeControlNet of three failure domains with a few daemons each; declaration() is in
/// force.
///
/// Daemons are numbered domain by domain, starting with alx-raml.
struct Cluster : FakeControlNet
{
    explicit Cluster(std::uint64_t seed = 1, std::size_t size = 3, ControlSettings settings = {})
        : FakeControlNet(seed, std::move(settings))
        , perDomain(size)
    {
        for (const char *domain : Domains) {
            for (std::size_t i = 0; i < size; ++i)
                add(domain);
        }
        startAll();
        run(5s);
        propose(0, declaration());
        run(5s);
    }

    static constexpr std::array<const char *, 3> Domains{"alx-raml", "alx-smouha", "alx-agami"};
    std::size_t perDomain;

    template <typename Outcome>
    [[nodiscard]] const Outcome *get(ProposalId id) const
    {
        const ProposalOutcome *found = outcome(id);
        return found ? std::get_if<Outcome>(found) : nullptr;
    }

    /// \brief Proposes a change up to five times until it is accepted.
    /// \return Its revision, or 0 if it was not accepted.
    Revision accept(std::size_t node, const ChangeRecord &draft)
    {
        for (int tries = 0; tries < 5; ++tries) {
            const ProposalId id = propose(node, draft);
            runUntil([&] { return outcome(id) != nullptr; }, 20s);
            if (const auto *accepted = get<ProposalAccepted>(id))
                return accepted->revision;
        }
        return Revision{};
    }

    /// \return All violations in one text; empty if there are none.
    [[nodiscard]] std::string problems() const
    {
        std::string text;
        for (const std::string &violation : violations())
            text += "\n  " + violation;
        return text;
    }
    [[nodiscard]] bool noticed(const std::string &part) const
    {
        return std::any_of(notices.begin(), notices.end(), [&](const Notice &notice) {
            return notice.text.find(part) != std::string::npos;
        });
    }
};

} // namespace baobabtrail::test
