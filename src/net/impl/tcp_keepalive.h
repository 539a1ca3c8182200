#pragma once

namespace baobabtrail::impl {

/// \brief Has the kernel end a connection whose other end has gone silent.
///
/// Something between the two ends may lose track of a connection: nothing arrives any more and
/// nothing says so, while new connections work. A waiting watch would then hear of no change for
/// its whole wait, and a drained target would go on getting flows. Probes end it within three
/// seconds, with no call to the store.
/// \param socket A connected TCP socket.
void enableTcpKeepAlive(int socket) noexcept;

} // namespace baobabtrail::impl
