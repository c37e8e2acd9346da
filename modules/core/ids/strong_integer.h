#pragma once

#include <cstdint>
#include <functional>
#include <ostream>

namespace dotterellug {

// A 64-bit count or ordinal with a unit. Two instantiations with different tags
// do not mix. Use the aliases in ids.h. Overflow is not checked; all quantities
// of the system stay far below 2^62.
template <typename Tag>
class StrongInteger {
 public:
  constexpr StrongInteger() = default;
  constexpr explicit StrongInteger(std::int64_t value) : value_(value) {}

  constexpr auto Value() const -> std::int64_t { return value_; }
  // The value that follows; used for versions, terms and sequence numbers.
  constexpr auto Next() const -> StrongInteger {
    return StrongInteger(value_ + 1);
  }

  constexpr auto operator+=(StrongInteger other) -> StrongInteger& {
    value_ += other.value_;
    return *this;
  }
  constexpr auto operator-=(StrongInteger other) -> StrongInteger& {
    value_ -= other.value_;
    return *this;
  }
  friend constexpr auto operator+(StrongInteger a, StrongInteger b)
      -> StrongInteger {
    return StrongInteger(a.value_ + b.value_);
  }
  friend constexpr auto operator-(StrongInteger a, StrongInteger b)
      -> StrongInteger {
    return StrongInteger(a.value_ - b.value_);
  }
  friend constexpr auto operator-(StrongInteger a) -> StrongInteger {
    return StrongInteger(-a.value_);
  }
  friend constexpr auto operator==(StrongInteger a, StrongInteger b) -> bool {
    return a.value_ == b.value_;
  }
  friend constexpr auto operator!=(StrongInteger a, StrongInteger b) -> bool {
    return a.value_ != b.value_;
  }
  friend constexpr auto operator<(StrongInteger a, StrongInteger b) -> bool {
    return a.value_ < b.value_;
  }
  friend constexpr auto operator<=(StrongInteger a, StrongInteger b) -> bool {
    return a.value_ <= b.value_;
  }
  friend constexpr auto operator>(StrongInteger a, StrongInteger b) -> bool {
    return a.value_ > b.value_;
  }
  friend constexpr auto operator>=(StrongInteger a, StrongInteger b) -> bool {
    return a.value_ >= b.value_;
  }
  friend auto operator<<(std::ostream& out, StrongInteger number)
      -> std::ostream& {
    return out << number.value_;
  }

 private:
  std::int64_t value_ = 0;
};

}  // namespace dotterellug

template <typename Tag>
struct std::hash<dotterellug::StrongInteger<Tag>> {
  auto operator()(dotterellug::StrongInteger<Tag> number) const noexcept
      -> std::size_t {
    return std::hash<std::int64_t>{}(number.Value());
  }
};
