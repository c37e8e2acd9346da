#pragma once

#include <string>
#include <string_view>

#include "core/errors/error.h"

namespace dotterellug {

// Applies one change to the text of a section and returns the new text. Forms
// of `expression`:
//   KEY=VALUE              sets a key of the section limits
//   LIST[ID].KEY=VALUE     sets a key of an entry, which is added if missing
//   LIST[ID].KEY=          removes the key, so that its default applies
//   LIST[ID]=              removes the entry
// A value [A, B] is a list. The result is not validated; pass it to
// ParseDocument. Comments in the text are not kept.
auto EditSection(std::string_view text, std::string_view expression)
    -> Result<std::string>;

}  // namespace dotterellug
