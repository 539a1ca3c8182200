#pragma once

namespace baobabtrail::daemon {

/// \brief Exit status of the daemon's process.
enum class ExitStatus : int {
    Done = 0,
    BadSettings = 2,
    Failed = 70, ///< A component kept failing; the VM's service manager restarts the process.
};

} // namespace baobabtrail::daemon
