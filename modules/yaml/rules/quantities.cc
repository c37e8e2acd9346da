#include "yaml/rules/quantities.h"

#include <array>
#include <charconv>
#include <cstdint>
#include <limits>
#include <optional>

namespace dotterellug {

namespace {

struct Unit {
  std::string_view suffix;
  std::int64_t factor;
};

// Ordered by factor, largest first; formatting takes the first that divides.
constexpr std::array<Unit, 9> kByteUnits{{{"TiB", 1LL << 40U},
                                          {"TB", 1'000'000'000'000},
                                          {"GiB", 1LL << 30U},
                                          {"GB", 1'000'000'000},
                                          {"MiB", 1LL << 20U},
                                          {"MB", 1'000'000},
                                          {"KiB", 1LL << 10U},
                                          {"KB", 1'000},
                                          {"", 1}}};

constexpr std::array<Unit, 5> kDurationUnits{{{"h", 3'600'000'000},
                                              {"m", 60'000'000},
                                              {"s", 1'000'000},
                                              {"ms", 1'000},
                                              {"us", 1}}};

template <std::size_t kCount>
auto ParseAmount(std::string_view text, const std::array<Unit, kCount>& units)
    -> std::optional<std::int64_t> {
  std::int64_t number = 0;
  const auto* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || number < 0) return std::nullopt;
  const std::string_view suffix(parsed.ptr,
                                static_cast<std::size_t>(end - parsed.ptr));
  for (const auto& unit : units) {
    if (unit.suffix != suffix) continue;
    if (number > std::numeric_limits<std::int64_t>::max() / unit.factor) {
      return std::nullopt;
    }
    return number * unit.factor;
  }
  return std::nullopt;
}

// `zero` is the text of the amount 0, which every unit divides.
template <std::size_t kCount>
auto FormatAmount(std::int64_t amount, const std::array<Unit, kCount>& units,
                  std::string_view zero) -> std::string {
  if (amount == 0) return std::string(zero);
  for (const auto& unit : units) {
    if (amount % unit.factor != 0) continue;
    return std::to_string(amount / unit.factor) + std::string(unit.suffix);
  }
  return std::to_string(amount);
}

}  // namespace

auto ParseBytes(std::string_view text) -> Result<Bytes> {
  const auto amount = ParseAmount(text, kByteUnits);
  if (!amount) {
    return Fail(ErrorKind::kInvalidArgument, "not an amount of bytes",
                "write a whole number with KB, MB, GB, TB, KiB, MiB, GiB, TiB "
                "or no unit");
  }
  return Bytes(*amount);
}

auto FormatBytes(Bytes bytes) -> std::string {
  return FormatAmount(bytes.Value(), kByteUnits, "0");
}

auto ParseDuration(std::string_view text) -> Result<Duration> {
  const auto amount = ParseAmount(text, kDurationUnits);
  if (!amount) {
    return Fail(ErrorKind::kInvalidArgument, "not a duration",
                "write a whole number with us, ms, s, m or h");
  }
  return Duration(*amount);
}

auto FormatDuration(Duration duration) -> std::string {
  return FormatAmount(duration.count(), kDurationUnits, "0s");
}

}  // namespace dotterellug
