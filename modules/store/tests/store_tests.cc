#include <gtest/gtest.h>

#include "store/store.h"

namespace dotterellug {
namespace {

// Guards against a caller that sends input the object API cannot keep.
TEST(ObjectStoreTest, RejectsNamesAndValuesWithoutACall) {
  const auto backend = std::make_shared<MemoryObjectBackend>();
  ObjectStore store{MemoryObjectStore(backend)};
  EXPECT_EQ(store.Get("").error().kind, ErrorKind::kInvalidArgument);
  EXPECT_EQ(store.Get("a?b").error().kind, ErrorKind::kInvalidArgument);
  EXPECT_EQ(store.List("a b").error().kind, ErrorKind::kInvalidArgument);
  EXPECT_EQ(store.Put("a", "\xff", kAbsent).error().kind,
            ErrorKind::kInvalidArgument);
  const std::string large(kMaxObjectBytes.Value() + 1, 'x');
  EXPECT_EQ(store.Put("a", large, kAbsent).error().kind, ErrorKind::kTooLarge);
  EXPECT_EQ(store.Remove("a", kAbsent).error().kind,
            ErrorKind::kInvalidArgument);
  EXPECT_EQ(backend->Counts().Total(), 0);
}

// Guards against an address on which nothing listens being reported as an
// unknown outcome: nothing can have been done.
TEST(HttpObjectStoreTest, RefusedConnectionIsCertainlyNotDone) {
  ObjectStore store{HttpObjectStore({"127.0.0.1", 1})};
  EXPECT_EQ(store.Put("a", "1", kAbsent).error().kind, ErrorKind::kUnavailable);
  EXPECT_EQ(store.Get("a").error().kind, ErrorKind::kUnavailable);
}

}  // namespace
}  // namespace dotterellug
