#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "document/model/serving_document.h"
#include "document/sections/section.h"

namespace dotterellug {

enum class DifferenceKind { kAdded, kRemoved, kChanged };

// "added", "removed" or "changed".
auto DifferenceKindName(DifferenceKind kind) -> std::string_view;

// One difference between two documents. An entry that exists on one side only
// is one difference; for an entry on both sides there is one per key.
struct Difference {
  DifferenceKind kind = DifferenceKind::kChanged;
  Section section = Section::kAccounts;
  // Such as "accounts[shop].weight".
  std::string path;
  // Empty when the entry is missing; "default" when the key has its default.
  std::string before;
  std::string after;

  // One line such as "~ accounts[shop].weight: 3 -> 4".
  auto Text() const -> std::string;
};

// All differences, in the order of sections and ids. Compares meaning, so that
// order, comments and spelled-out defaults make no difference.
auto DiffDocuments(const ServingDocument& before, const ServingDocument& after)
    -> std::vector<Difference>;

}  // namespace dotterellug
