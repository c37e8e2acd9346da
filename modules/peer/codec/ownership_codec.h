#pragma once

#include "ownership/agent/ownership_actions.h"
#include "peer/codec/json_archive.h"

namespace dotterellug {

template <typename Archive>
auto Describe(Archive& archive,
              typename Archive::template Access<MemberId>& member) -> void {
  auto& [instance, incarnation] = member;
  archive("instance", instance);
  archive("incarnation", incarnation);
}

template <typename Archive>
auto Describe(Archive& archive,
              typename Archive::template Access<TermAnnouncement>& message)
    -> void {
  auto& [shard, term, owner] = message;
  archive("shard", shard);
  archive("term", term);
  archive("owner", owner);
}

}  // namespace dotterellug
