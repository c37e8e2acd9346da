#pragma once

#include "core/ids/ids.h"

namespace dotterellug {

// The highest term that a member has acknowledged for one shard. A member obeys
// commands of exactly this term: lower ones come from a former owner, higher
// ones must be acknowledged with a report first.
class TermFence {
 public:
  // Accepts `term` if it is not lower than the one acknowledged. Returns
  // whether the term is now (or was already) the acknowledged one.
  auto Acknowledge(Term term) -> bool {
    if (term < acknowledged_) return false;
    acknowledged_ = term;
    return true;
  }
  auto Obeys(Term term) const -> bool {
    return term == acknowledged_ && term > Term{0};
  }
  auto Acknowledged() const -> Term { return acknowledged_; }

 private:
  Term acknowledged_;
};

}  // namespace dotterellug
