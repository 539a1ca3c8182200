#include "support/admission_play.h"

#include <criterion/criterion.h>

using namespace baobabtrail;
using namespace baobabtrail::test;

// Guards against targets that refuse what daemons could have refused at once, and against
// refusals that leave slots idle.
Test(admissionLoad, overloadIsRefusedByDaemonsAndSlotsStayInUse)
{
    for (const double load : {1.2, 1.5, 2.0}) {
        for (std::uint64_t seed = 1; seed <= 2; ++seed) {
            const AdmissionPlay with = playAdmission(admissionPattern(true), load, seed);
            const auto refused = static_cast<double>(with.arrivals.refusals)
                                 / static_cast<double>(with.arrivals.arrivals);
            cr_assert(refused <= 0.1, "load %g: %g", load, refused);
            cr_assert(with.load.shareInTime() >= 0.92 / load, "load %g: %g", load,
                      with.load.shareInTime() * load);
            cr_assert(with.before.refusedByDaemons == 0 && with.after.refusedByDaemons == 0);
        }
    }
}

// Guards against refusals that serve callers worse than none.
Test(admissionLoad, noFewerRequestsAreInTimeThanWithout)
{
    for (const double load : {1.2, 1.5, 2.0}) {
        for (std::uint64_t seed = 1; seed <= 2; ++seed) {
            const double with
                = playAdmission(admissionPattern(true), load, seed).load.shareInTime();
            const double without
                = playAdmission(admissionPattern(false), load, seed).load.shareInTime();
            cr_assert(with >= without, "load %g seed %d: %g, %g", load, static_cast<int>(seed),
                      with, without);
        }
    }
}
