#pragma once

#include <string>
#include <string_view>

#include "settings/model/daemon_settings.h"
#include "tl/expected.hpp"
#include "yaml/faults/fault_list.h"
#include "yaml/tree/tree_builder.h"

namespace dotterellug {

inline constexpr YamlLimits kSettingsLimits{65'536, 6, 2'000, 1024};

// Reads settings and checks them as a whole. `file` is the name that faults
// give. Paths stay as written.
auto ParseSettings(std::string_view text, const std::string& file)
    -> tl::expected<DaemonSettings, FaultList>;

// Reads the settings file. Relative paths in it are taken from its folder, so
// that they do not depend on where the daemon was started.
auto LoadSettings(const std::string& path)
    -> tl::expected<DaemonSettings, FaultList>;

}  // namespace dotterellug
