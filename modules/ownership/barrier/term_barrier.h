#pragma once

#include <vector>

#include "core/ids/ids.h"
#include "ownership/member/member_id.h"

namespace dotterellug {

// What a new owner waits for before it acts: each member registered at the
// takeover has acknowledged the new term or is confirmed gone. The former owner
// is a member like any other; until it has acknowledged, it may still hand out
// from its pool.
class TermBarrier {
 public:
  TermBarrier(Term term, std::vector<MemberId> members);

  // Acknowledgements of other terms are ignored.
  auto Acknowledge(const MemberId& member, Term term) -> void;
  // Call only for a member confirmed gone, never for a suspected one.
  auto ConfirmGone(const MemberId& member) -> void;

  auto Complete() const -> bool { return waiting_.empty(); }
  // Members to announce the term to again.
  auto Waiting() const -> const std::vector<MemberId>& { return waiting_; }
  // Members that never acknowledged because they are gone.
  auto Unreported() const -> const std::vector<MemberId>& {
    return unreported_;
  }

 private:
  auto StopWaitingFor(const MemberId& member) -> bool;

  Term term_;
  std::vector<MemberId> waiting_;
  std::vector<MemberId> unreported_;
};

}  // namespace dotterellug
