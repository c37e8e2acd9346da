#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace dotterellug {

// One thing wrong in a text that an operator wrote.
struct Fault {
  // File name, or name of the section of the serving document.
  std::string source;
  // Counted from 1; 0 when the fault belongs to no line.
  int line = 0;
  // Where in the structure, such as "accounts[2].weight".
  std::string path;
  // The value found, shortened; empty when something is missing.
  std::string value;
  std::string message;
  std::string remedy;

  // "source:line: path: message (value); remedy" in one line.
  auto Text() const -> std::string;
};

// All faults of one text or of several that belong together. Lists the first
// kMaxListed and counts the rest, so that hostile input cannot make the list
// larger than the input.
class FaultList {
 public:
  static constexpr std::size_t kMaxListed = 1000;

  auto Add(Fault fault) -> void;
  auto Append(const FaultList& other) -> void;

  auto Empty() const -> bool { return total_ == 0; }
  auto Total() const -> std::size_t { return total_; }
  auto Listed() const -> const std::vector<Fault>& { return listed_; }
  // Orders by source and line, so that an operator can work through a file.
  auto Sort() -> void;
  // One fault a line, and a last line with the count of those not listed.
  auto Text() const -> std::string;

 private:
  std::vector<Fault> listed_;
  std::size_t total_ = 0;
};

// `text` in a form that fits one line of a message: control characters are
// replaced and long text is cut.
auto Shorten(std::string_view text) -> std::string;

}  // namespace dotterellug
