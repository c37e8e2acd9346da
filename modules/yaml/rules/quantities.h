#pragma once

#include <string>
#include <string_view>

#include "core/errors/error.h"
#include "core/ids/ids.h"
#include "core/time/time.h"

namespace dotterellug {

// Amounts with a unit, as operators write them.
//
// Bytes are a whole number with an optional unit: KB, MB, GB, TB (powers of
// 1000) or KiB, MiB, GiB, TiB (powers of 1024).
auto ParseBytes(std::string_view text) -> Result<Bytes>;
// The largest unit that gives a whole number, so that parsing gives the same
// amount.
auto FormatBytes(Bytes bytes) -> std::string;

// Durations are a whole number with a unit: us, ms, s, m or h.
auto ParseDuration(std::string_view text) -> Result<Duration>;
auto FormatDuration(Duration duration) -> std::string;

}  // namespace dotterellug
