#include <gtest/gtest.h>

#include "daemon/control/placement_lease_keeper.h"

namespace dotterellug {
namespace {

// Guards against a daemon that ends because somebody else has written into the
// record of the lease.
TEST(PlacementLeaseKeeperTest, ARecordOfAnotherWriterIsNoLease) {
  for (const std::string text :
       {"", "text", "null", "[]", R"({"instance":5})", R"({"term":"1"})",
        R"({"instance":"i","incarnation":{}})", R"({"renewal":[1]})"}) {
    SCOPED_TRACE(text);
    ObjectStore store{
        MemoryObjectStore(std::make_shared<MemoryObjectBackend>())};
    ASSERT_TRUE(store.Put("owner/placement", text, kAbsent));
    PlacementLeaseKeeper keeper({InstanceId("i"), Incarnation(1)}, store);
    EXPECT_NO_THROW(keeper.Step());
    EXPECT_FALSE(keeper.Lease(MonotonicNow()));
    EXPECT_FALSE(keeper.Owner());
    EXPECT_EQ(store.Get("owner/placement")->value, text);
  }
}

}  // namespace
}  // namespace dotterellug
