#include <gtest/gtest.h>

#include <memory>

#include "eventhttp/memory/memory_account.h"

namespace dotterellug::eventhttp {
namespace {

class MemoryAccountTest : public ::testing::Test {
 protected:
  auto Charge(MemoryUse use) -> std::unique_ptr<MemoryCharge> {
    return std::make_unique<MemoryCharge>(account_, use);
  }

  std::shared_ptr<MemoryAccount> account_ =
      std::make_shared<MemoryAccount>(MemoryLimits{1000, 0.8, 0.5});
};

// Guards against memory that stays charged, or is never charged, as a request
// goes from one use to the next.
TEST_F(MemoryAccountTest, ChargesFollowTheirUse) {
  auto body = Charge(MemoryUse::kReceivedBody);
  ASSERT_TRUE(body->TryAddHolder("a"));
  EXPECT_TRUE(body->TrySet(300));
  body->ChangeUse(MemoryUse::kKeptBody);
  EXPECT_EQ(account_->Used(MemoryUse::kReceivedBody), 0U);
  EXPECT_EQ(account_->Used(MemoryUse::kKeptBody), 300U);
  EXPECT_EQ(account_->HeldBy("a"), 300U);
  body->Set(100);
  EXPECT_EQ(account_->Used(), 100U);
  body.reset();
  EXPECT_EQ(account_->Used(), 0U);
  EXPECT_EQ(account_->HeldBy("a"), 0U);
}

// Guards against bodies that leave no room for requests without one.
TEST_F(MemoryAccountTest, BodiesLeaveRoomForHeads) {
  auto first = Charge(MemoryUse::kReceivedBody);
  EXPECT_TRUE(first->TrySet(800));
  auto second = Charge(MemoryUse::kKeptBody);
  EXPECT_FALSE(second->TrySet(1));
  auto head = Charge(MemoryUse::kHead);
  EXPECT_TRUE(head->TrySet(200));
  EXPECT_FALSE(head->TrySet(201));
  EXPECT_EQ(head->Bytes(), 200U);
}

// Guards against one client, or one account with many addresses, that holds all
// of the memory for bodies.
TEST_F(MemoryAccountTest, OneHolderGetsAPartOnly) {
  auto first = Charge(MemoryUse::kReceivedBody);
  ASSERT_TRUE(first->TryAddHolder("a"));
  EXPECT_TRUE(first->TrySet(500));
  auto second = Charge(MemoryUse::kReceivedBody);
  ASSERT_TRUE(second->TryAddHolder("a"));
  EXPECT_FALSE(second->TrySet(1));
  EXPECT_TRUE(second->ExceedsHolder(1));
  auto other = Charge(MemoryUse::kReceivedBody);
  ASSERT_TRUE(other->TryAddHolder("b"));
  EXPECT_TRUE(other->TrySet(300));
  EXPECT_FALSE(other->TryAddHolder("a"));
  EXPECT_EQ(account_->HeldBy("a"), 500U);
}

TEST(UnboundedMemoryAccountTest, OnlyCounts) {
  const auto account = std::make_shared<MemoryAccount>();
  MemoryCharge charge(account, MemoryUse::kReceivedBody);
  ASSERT_TRUE(charge.TryAddHolder("a"));
  EXPECT_TRUE(charge.TrySet(std::size_t{1} << 40U));
  EXPECT_EQ(account->Used(), std::size_t{1} << 40U);
}

}  // namespace
}  // namespace dotterellug::eventhttp
