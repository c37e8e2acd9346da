#include "daemon/gateway/control_link.h"

namespace dotterellug::gateway {

auto StoreListName(StoreList list) -> const char* {
  switch (list) {
    case StoreList::kConfiguration:
      return "configuration";
    case StoreList::kUpstreams:
      return "upstreams";
    case StoreList::kZonesOut:
      return "zones_out";
    case StoreList::kMembers:
      break;
  }
  return "members";
}

}  // namespace dotterellug::gateway
