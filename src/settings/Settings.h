#ifndef LYCHEETHREAD_SETTINGS_SETTINGS_H
#define LYCHEETHREAD_SETTINGS_SETTINGS_H

/// Public header of the settings library: checked settings of a node.

#include "settings/types/NodeSettings.h"

#endif // LYCHEETHREAD_SETTINGS_SETTINGS_H
