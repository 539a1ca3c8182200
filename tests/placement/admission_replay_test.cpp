#include "support/admission_play.h"

#include <criterion/criterion.h>

using namespace baobabtrail;
using namespace baobabtrail::test;

// Guards against refusals or other choices while targets carry the load.
Test(admissionReplay, belowSaturationEveryChoiceIsTheSame)
{
    const AdmissionPlay with = playAdmission(admissionPattern(true), 0.9, 1);
    const AdmissionPlay without = playAdmission(admissionPattern(false), 0.9, 1);
    cr_assert(with.load.refusedByDaemons == 0 && with.placements == without.placements);
}

// Guards against refusals by daemons that know only their own counts.
Test(admissionReplay, withoutUsageNothingIsRefused)
{
    cr_assert(playAdmission(admissionPattern(true), 2.0, 1, true).load.refusedByDaemons == 0);
}
