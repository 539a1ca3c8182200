#pragma once

namespace baobabtrail::impl {

/// \brief Enables TCP keep-alive and TCP_USER_TIMEOUT, so that the kernel ends a dead connection;
/// also sets TCP_NODELAY.
///
/// A middlebox may lose its state of a connection: its packets are dropped silently, while new
/// connections work. A pending watch would then miss every change until its wait ends, and a
/// drained target would continue to get flows. Keep-alive probes end the connection within three
/// seconds, without a call to the store.
/// \param socket A connected TCP socket.
void enableTcpKeepAlive(int socket) noexcept;

} // namespace baobabtrail::impl
