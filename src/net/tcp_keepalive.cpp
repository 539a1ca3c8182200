#include "net/impl/tcp_keepalive.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace baobabtrail::impl {

namespace {

// Together the silence is noticed within three seconds: below the bounds within which a change of
// configuration has to be in force.
constexpr int IdleSeconds = 1;
constexpr int ProbeSeconds = 1;
constexpr int Probes = 2;
/// Bytes that are not acknowledged for this long end the connection too.
constexpr int UnacknowledgedMilliseconds = 2500;

void setOption(int socket, int level, int name, int value) noexcept
{
    // A kernel that lacks an option leaves the call's own timeout, which is longer and enough.
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
