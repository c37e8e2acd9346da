#pragma once

#include <cstdint>
#include <optional>
#include <set>

#include "revision/model/revision.h"

namespace dotterellug {

// What to do with a revision that a source names.
enum class OfferResult {
  kFetch,    // higher than the one in force: fetch it, then call Adopt
  kCurrent,  // the one in force
  kIgnored,  // lower than one already known; counted
};

// Decides which revision a daemon has in force: the number only increases,
// whatever the store or peers answer. At the start the daemon asks the store
// and the peers that it knows, and is ready when each of them has answered or
// failed, at least one has answered, and the highest revision named is in
// force. Holds no texts and does no input or output. Not thread-safe.
class RevisionFollower {
 public:
  // `peers` are those asked at the start.
  explicit RevisionFollower(std::set<InstanceId> peers)
      : unanswered_(std::move(peers)) {}

  // The store's latest revision, or number 0 when it has none.
  auto OnStoreAnswer(const RevisionRef& ref) -> OfferResult;
  auto OnStoreFailure() -> void;
  // The revision that a peer has in force; also from any later message.
  auto OnPeerAnswer(const InstanceId& peer, const RevisionRef& ref)
      -> OfferResult;
  auto OnPeerFailure(const InstanceId& peer) -> void;

  // Puts a fetched and validated revision in force. False, and counted, when a
  // revision at least as high is in force already.
  auto Adopt(const RevisionRef& ref) -> bool;

  // The revision in force; number 0 before the first.
  auto Current() const -> const RevisionRef& { return current_; }
  // The highest revision named by any source; fetch it when it is higher than
  // Current.
  auto Target() const -> const RevisionRef& { return target_; }
  // Stays true once it is: a higher revision named later does not make a
  // serving daemon unready.
  auto IsReady() const -> bool { return ready_; }
  // Revisions ignored because a higher one was known.
  auto IgnoredCount() const -> std::int64_t { return ignored_; }

 private:
  auto Offer(const RevisionRef& ref) -> OfferResult;

  auto UpdateReady() -> void;

  bool store_pending_ = true;
  bool answered_ = false;
  bool ready_ = false;
  std::set<InstanceId> unanswered_;
  RevisionRef current_;
  RevisionRef target_;
  std::int64_t ignored_ = 0;
};

}  // namespace dotterellug
