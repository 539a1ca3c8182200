#pragma once

#include "core/config/proposer.h"
#include "core/control/context.h"
#include "core/membership/swim.h"

#include <functional>

namespace baobabtrail {

/// \brief Finds out whether every live daemon has passed the revision from which on an address got
/// no more work of its old service.
///
/// Asks the watchers of every failure domain, which hear of each daemon of theirs that applies a
/// revision. A daemon on the VM list that nobody has heard passing blocks the address: it may be
/// cut off and still send to it. Only the end of the quarantine lets it go then.
class QuarantineCheck
{
public:
    QuarantineCheck(ControlContext &context, Swim &swim)
        : m_context(context)
        , m_swim(swim)
    {
    }

    void check(std::vector<QuarantineUse> uses, Proposer::Cleared done);

private:
    struct PendingCheck;
    void queryDomains(const std::shared_ptr<PendingCheck> &pending);
    void query(const std::shared_ptr<PendingCheck> &pending, const Endpoint &records);
    void finish(const std::shared_ptr<PendingCheck> &pending);

    ControlContext &m_context;
    Swim &m_swim;
};

} // namespace baobabtrail
