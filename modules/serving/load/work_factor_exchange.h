#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include "core/core.h"
#include "serving/fleet/upstream_table.h"
#include "serving/load/stated_load.h"

namespace dotterellug::serving {

// Where knowledge of a work factor comes from.
enum class WorkFactorSource {
  kResponse,  // a response to this daemon
  kReport,    // a daemon that reports here
  kHub,       // the hub to which this daemon reports
};

// Exchanges the work factors of upstreams between this daemon and others. The
// factors themselves are kept in the upstream table. A message carries a
// bounded number of them, whatever the number of upstreams: those that differed
// from what was expected, for as long as that matters, and in turn some of all
// others, so that a daemon that has just started learns the usual factors. Loss
// of a message is harmless: the next one carries most of the same. Not
// thread-safe.
class WorkFactorExchange {
 public:
  // Entries in one message at most; about 30 bytes each.
  static constexpr std::size_t kMaxRecent = 48;
  static constexpr std::size_t kMaxInTurn = 16;

  // `table` must outlive this object.
  explicit WorkFactorExchange(UpstreamTable& table) : table_(table) {}

  // A response of the upstream that arrived now stated `factor`.
  auto Observe(const UpstreamTable::Entry& upstream, double factor,
               Timestamp now) -> void;
  // Adds what a message from another daemon tells. Later observations win.
  // Facts about unknown upstreams or other processes of them are disregarded.
  auto Merge(const std::vector<SharedWorkFactor>& shared,
             WorkFactorSource source, Timestamp now) -> void;
  // What a hub should tell a daemon. `turn` increases by one from one message
  // to the next of the same receiver.
  auto ShareWithDaemon(std::int64_t turn, Timestamp now)
      -> std::vector<SharedWorkFactor>;
  // What this daemon should tell its hub: what it has observed, and what
  // daemons that report to it have.
  auto ShareWithHub(std::int64_t turn, Timestamp now)
      -> std::vector<SharedWorkFactor>;

 private:
  // An observation that differed from what was expected.
  struct Surprise {
    UpstreamTable::Entry upstream;
    Timestamp at;
    WorkFactorSource source;
  };

  // Keeps an observation that is about to be recorded if it is a surprise.
  auto NoteSurprise(const UpstreamTable::Entry& upstream, double factor,
                    Timestamp at, WorkFactorSource source, Timestamp now)
      -> void;
  auto AddSurprises(std::vector<SharedWorkFactor>& shared, bool to_hub,
                    Timestamp now) -> void;
  auto AddInTurn(std::vector<SharedWorkFactor>& shared, std::int64_t turn,
                 Timestamp now) -> void;

  UpstreamTable& table_;
  // In order of their arrival here.
  std::deque<Surprise> surprises_;
  // The upstreams that are told in turn, and when they were listed.
  std::vector<UpstreamTable::Entry> in_turn_;
  Timestamp listed_at_{};
};

}  // namespace dotterellug::serving
