#include "net/restartable_timer.h"
#include "support/stall_process.h"

#include <criterion/criterion.h>

using namespace baobabtrail;
using namespace baobabtrail::test;

namespace {

constexpr Duration Wait = 10ms;

} // namespace

// Guards against a replaced wait whose handler still runs and acts on the new wait.
Test(restartableTimer, replacedWaitIsNotCalled)
{
    boost::asio::io_context context;
    RestartableTimer first{context};
    RestartableTimer second{context};
    int replaced = 0;
    int newest = 0;
    first.start(Wait, [&] { second.start(Wait, [&] { ++newest; }); });
    second.start(Wait, [&] { ++replaced; });
    stallProcess(2 * Wait);
    context.run();
    cr_assert_eq(replaced, 0);
    cr_assert_eq(newest, 1);
}

// Guards against a cancelled wait whose handler still runs, so that a stopped component continues.
Test(restartableTimer, cancelledWaitIsNotCalled)
{
    boost::asio::io_context context;
    RestartableTimer first{context};
    RestartableTimer second{context};
    int calls = 0;
    first.start(Wait, [&] { second.cancel(); });
    second.start(Wait, [&] { ++calls; });
    stallProcess(2 * Wait);
    context.run();
    cr_assert_eq(calls, 0);
}
