#include "yaml/faults/fault_list.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace dotterellug {

namespace {

constexpr std::size_t kMaxValueLength = 80;

auto IsControl(char character) -> bool {
  const auto code = static_cast<unsigned char>(character);
  return code < 0x20 || code == 0x7f;
}

}  // namespace

auto Shorten(std::string_view text) -> std::string {
  std::string result(text.substr(0, kMaxValueLength));
  std::replace_if(result.begin(), result.end(), IsControl, '?');
  if (text.size() > kMaxValueLength) result += "...";
  return result;
}

auto Fault::Text() const -> std::string {
  std::string text = source;
  if (line > 0) text += ":" + std::to_string(line);
  text += ": ";
  if (!path.empty()) text += path + ": ";
  text += message;
  if (!value.empty()) text += " (found \"" + value + "\")";
  if (!remedy.empty()) text += "; " + remedy;
  return text;
}

auto FaultList::Add(Fault fault) -> void {
  ++total_;
  if (listed_.size() >= kMaxListed) return;
  fault.value = Shorten(fault.value);
  listed_.push_back(std::move(fault));
}

auto FaultList::Append(const FaultList& other) -> void {
  const auto unlisted = other.total_ - other.listed_.size();
  for (const auto& fault : other.listed_) Add(fault);
  total_ += unlisted;
}

auto FaultList::Sort() -> void {
  const auto before = [](const Fault& a, const Fault& b) {
    return std::tie(a.source, a.line) < std::tie(b.source, b.line);
  };
  std::stable_sort(listed_.begin(), listed_.end(), before);
}

auto FaultList::Text() const -> std::string {
  std::string text;
  for (const auto& fault : listed_) text += fault.Text() + "\n";
  if (total_ > listed_.size()) {
    text += std::to_string(total_ - listed_.size()) +
            " further faults are not listed\n";
  }
  return text;
}

}  // namespace dotterellug
