#pragma once

#include <memory>

#include "core/ids/ids.h"
#include "document/keys/key_table.h"
#include "document/model/serving_document.h"

namespace dotterellug {

// One revision of the serving document with what requests need from it. The
// control thread builds it once per revision and publishes it; traffic threads
// only read it.
struct ServingSnapshot {
  RevisionNumber revision;
  ServingDocument document;
  KeyTable keys;
};

using SharedSnapshot = std::shared_ptr<const ServingSnapshot>;

inline auto MakeSnapshot(RevisionNumber revision, ServingDocument document,
                         const DigestKey& digest_key) -> SharedSnapshot {
  KeyTable keys(document, digest_key);
  return std::make_shared<const ServingSnapshot>(
      ServingSnapshot{revision, std::move(document), std::move(keys)});
}

}  // namespace dotterellug
