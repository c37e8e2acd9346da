#pragma once

#include <cstddef>

namespace dotterellug {

// Order in which work yields when capacity is short: interactive before
// standard before batch.
enum class PriorityClass { kInteractive, kStandard, kBatch };
inline constexpr std::size_t kPriorityClasses = 3;

}  // namespace dotterellug
