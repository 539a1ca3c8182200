#pragma once

#include "core/config/proposer.h"
#include "core/control/context.h"
#include "core/membership/swim.h"

#include <functional>

namespace baobabtrail {

/// \brief Checks whether every live daemon has applied the revision that took an address out of its
/// old service, so that a new service may use the address.
///
/// Queries the watchers of every failure domain, which are told of each revision that a daemon of
/// their domain applies. A daemon that is on the VM list and not known to have applied the revision
/// blocks the address: it may be partitioned and still send the old service's packets there. The
/// address is then released only when its quarantine expires.
class QuarantineCheck
{
public:
    QuarantineCheck(ControlContext &context, Swim &swim)
        : m_context(context)
        , m_swim(swim)
    {
    }

    /// \param uses The quarantined addresses that a change wants to use.
    /// \param done Called once with a finding for each address that is still blocked.
    void check(std::vector<QuarantineUse> uses, Proposer::QuarantineChecked done);

private:
    struct PendingCheck;
    void queryDomains(const std::shared_ptr<PendingCheck> &pending);
    void query(const std::shared_ptr<PendingCheck> &pending, const Endpoint &records);
    void finish(const std::shared_ptr<PendingCheck> &pending);

    ControlContext &m_context;
    Swim &m_swim;
};

} // namespace baobabtrail
