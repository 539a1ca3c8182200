#pragma once

#include "daemon/direct/direct_settings.h"
#include "daemon/settings/object_reader.h"

namespace baobabtrail::daemon {

/// \brief Reads the settings of a daemon that forwards directly.
/// \param reader Of the file's root object; gets a finding for each error.
void readDirectSettings(ObjectReader &reader, DirectDaemonSettings &out);

} // namespace baobabtrail::daemon
