/// \file
/// \brief Stand-in for the platform: an object store and a VM list, with fault injection.

#include "command_line.h"
#include "platform/platform_service.h"
#include "support/standin_process.h"

DEFINE_uint32(port, 0, "TCP port; 0 for a free one");
DEFINE_uint64(seed, 1, "seed of the random number generator");
DEFINE_double(writes_per_second, 0, "limit on writes; 0 for none");
DEFINE_double(reads_per_second, 0, "limit on reads; 0 for none");
DEFINE_uint64(vm_lag_ms, 0, "milliseconds by which the VM list lags");

int main(int argc, char **argv)
{
    using namespace baobabtrail::standins;
    baobabtrail::readFlags(argc, argv,
                           "standin-platform [flags]: the platform's store and VM list");

    boost::asio::io_context context;
    Switches switches;
    switches.writesPerSecond = FLAGS_writes_per_second;
    switches.readsPerSecond = FLAGS_reads_per_second;
    switches.vmLag = FLAGS_vm_lag_ms;
    PlatformService service{context, FLAGS_seed, switches};
    const HttpServer server{context, static_cast<std::uint16_t>(FLAGS_port),
                            [&service](const HttpRequest &request, const HttpReply &reply) {
                                service.handle(request, reply);
                            }};
    const StopSignal stop{context, [&context] { context.stop(); }};
    printReady({{"http", server.port()}});
    context.run();
    return 0;
}
