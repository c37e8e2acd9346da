#pragma once

#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace dotterellug {

// A string that names one kind of thing. Two instantiations with different tags
// do not convert into each other, so a model cannot be passed where a client
// account is expected. Use the aliases in ids.h.
template <typename Tag>
class StrongString {
 public:
  StrongString() = default;
  explicit StrongString(std::string value) : value_(std::move(value)) {}

  // The text as it stands in documents, logs and messages.
  auto Value() const -> const std::string& { return value_; }
  auto Empty() const -> bool { return value_.empty(); }

  friend auto operator==(const StrongString& a, const StrongString& b) -> bool {
    return a.value_ == b.value_;
  }
  friend auto operator!=(const StrongString& a, const StrongString& b) -> bool {
    return a.value_ != b.value_;
  }
  friend auto operator<(const StrongString& a, const StrongString& b) -> bool {
    return a.value_ < b.value_;
  }
  friend auto operator<<(std::ostream& out, const StrongString& id)
      -> std::ostream& {
    return out << id.value_;
  }

 private:
  std::string value_;
};

}  // namespace dotterellug

template <typename Tag>
struct std::hash<dotterellug::StrongString<Tag>> {
  auto operator()(const dotterellug::StrongString<Tag>& id) const noexcept
      -> std::size_t {
    return std::hash<std::string>{}(id.Value());
  }
};
