#pragma once

// Settings of one daemon, read from a YAML file and checked as a whole, and the
// table of all settings for the reference page.
// Needs: core, yaml.

#include "settings/model/daemon_settings.h"
#include "settings/parser/settings_parser.h"
#include "settings/table/setting_table.h"
