#include "ownership/barrier/term_barrier.h"

#include <algorithm>
#include <utility>

namespace dotterellug {

TermBarrier::TermBarrier(Term term, std::vector<MemberId> members)
    : term_(term), waiting_(std::move(members)) {}

auto TermBarrier::Acknowledge(const MemberId& member, Term term) -> void {
  if (term == term_) StopWaitingFor(member);
}

auto TermBarrier::ConfirmGone(const MemberId& member) -> void {
  if (StopWaitingFor(member)) unreported_.push_back(member);
}

auto TermBarrier::StopWaitingFor(const MemberId& member) -> bool {
  const auto position = std::find(waiting_.begin(), waiting_.end(), member);
  if (position == waiting_.end()) return false;
  waiting_.erase(position);
  return true;
}

}  // namespace dotterellug
