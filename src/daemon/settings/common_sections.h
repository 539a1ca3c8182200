#pragma once

/// \file
/// \brief Sections of the settings file that both kinds of daemon have.

#include "daemon/settings/object_reader.h"
#include "daemon/settings/settings.h"

namespace baobabtrail::daemon {

void readPlatform(ObjectReader &reader, PlatformClientSettings &out);
void readSockets(ObjectReader &reader, SocketSettings &out);
void readLog(ObjectReader &reader, LogSettings &out);
void readRestarts(ObjectReader &reader, RestartPolicy &out);

} // namespace baobabtrail::daemon
