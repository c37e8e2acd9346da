#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/errors/error.h"
#include "idempotency/record/claim_record.h"

namespace dotterellug {

// Content of the store object `claims/<shard>`. It is rewritten as a whole for
// each group of claims, conditional on its version, so that a former owner's
// write fails once the present owner has written.
struct ClaimLog {
  // Term and count of the write, by which an owner recognises its own write.
  Term term;
  std::int64_t batch = 0;
  // Until then, claims that the log does not contain may have run.
  WallTime unknown_until;
  std::vector<ClaimRecord> records;
};

auto ClaimObjectName(const ShardId& shard) -> std::string;
// The value as JSON, and back. Parsing fails with kProtocol on other input.
auto EncodeClaimLog(const ClaimLog& log) -> std::string;
auto ParseClaimLog(std::string_view value) -> Result<ClaimLog>;

}  // namespace dotterellug
