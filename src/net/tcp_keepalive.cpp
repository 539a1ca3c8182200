#include "net/impl/tcp_keepalive.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace baobabtrail::impl {

namespace {

// Together they detect a dead connection within three seconds, which is less than the time within
// which a configuration change has to be in force.
constexpr int IdleSeconds = 1;
constexpr int ProbeSeconds = 1;
constexpr int Probes = 2;
/// Sent bytes that stay unacknowledged for this long end the connection too.
constexpr int UnacknowledgedMilliseconds = 2500;

void setOption(int socket, int level, int name, int value) noexcept
{
    // On a kernel without the option the call's own timeout applies, which is longer but
    // sufficient.
    (void)::setsockopt(socket, level, name, &value, sizeof value);
}

} // namespace

void enableTcpKeepAlive(int socket) noexcept
{
    setOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, IdleSeconds);
    setOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, ProbeSeconds);
    setOption(socket, IPPROTO_TCP, TCP_KEEPCNT, Probes);
    setOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, UnacknowledgedMilliseconds);
    setOption(socket, IPPROTO_TCP, TCP_NODELAY, 1);
}

} // namespace baobabtrail::impl
