#pragma once

#include <array>
#include <string>
#include <string_view>

#include "core/errors/error.h"

namespace dotterellug {

// The deployment's secret under which digests of caller keys are made. Whoever
// reads the serving document without it cannot test guesses. Overwritten when
// destroyed; has no output operator, so that it cannot be logged.
class DigestKey {
 public:
  static constexpr std::size_t kBytes = 32;

  // From 64 hexadecimal digits. A failure never repeats the text.
  static auto FromHex(std::string_view text) -> Result<DigestKey>;
  // From a file with that text and an optional line end.
  static auto FromFile(const std::string& path) -> Result<DigestKey>;

  DigestKey(const DigestKey&) = default;
  auto operator=(const DigestKey&) -> DigestKey& = default;
  ~DigestKey();

  auto Data() const -> const std::array<unsigned char, kBytes>& {
    return bytes_;
  }

 private:
  DigestKey() = default;

  std::array<unsigned char, kBytes> bytes_{};
};

}  // namespace dotterellug
