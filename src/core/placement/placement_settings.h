#pragma once

namespace baobabtrail {

/// \brief Settings for the decisions that take the usage of all daemons into account.
struct PlacementSettings
{
    bool spill = true;   ///< Send the excess of a full failure domain to others.
    bool reserve = true; ///< Reserve targets for the urgent while a service is saturated.
    /// Requests in flight per slot at which a failure domain counts as full: every slot is in use.
    double fullAt = 1.0;
    /// Requests in flight per slot up to which a failure domain takes the excess of others: beyond
    /// that its own callers would find full queues.
    double spillUpTo = 3.0;
    /// Requests in flight per slot at which a service counts as saturated in a failure domain: more
    /// requests wait or are under way than run, and a burst finds full queues.
    double saturatedAt = 3.0;
    /// The same at which it no longer counts as saturated: few requests wait.
    double relievedAt = 2.0;
    /// Requests in flight per reserved slot that are aimed at, of which one runs and the others
    /// wait or are under way: few urgent requests meet a full queue then, and few slots are idle.
    double reservedFill = 3.0;
};

} // namespace baobabtrail
