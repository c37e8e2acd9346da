#include <gtest/gtest.h>

#include <string>

#include "document/document.h"

namespace dotterellug {
namespace {

auto TestDigestKey(char digit) -> DigestKey {
  return DigestKey::FromHex(std::string(64, digit)).value();
}

auto TestMaterial(unsigned char seed) -> KeyMaterial {
  KeyMaterial material;
  material.id.fill(seed);
  material.salt.fill(static_cast<unsigned char>(seed + 1));
  material.secret.fill(static_cast<unsigned char>(seed + 2));
  return material;
}

class KeyTableTest : public testing::Test {
 protected:
  KeyTableTest() {
    document_.keys.emplace(valid_.entry.id, valid_.entry);
    revoked_.entry.revoked = true;
    document_.keys.emplace(revoked_.entry.id, revoked_.entry);
  }

  auto RefusalOf(const std::string& text) const -> KeyRefusal {
    const KeyTable table(document_, digest_key_);
    const auto holder = table.Lookup(text);
    EXPECT_FALSE(holder);
    return holder ? KeyRefusal{} : holder.error();
  }

  DigestKey digest_key_ = TestDigestKey('a');
  IssuedKey valid_ =
      IssueKey(ClientAccountId("shop"), TestMaterial(1), digest_key_);
  IssuedKey revoked_ =
      IssueKey(ClientAccountId("shop"), TestMaterial(7), digest_key_);
  ServingDocument document_;
};

TEST_F(KeyTableTest, AcceptsIssuedKey) {
  const KeyTable table(document_, digest_key_);
  const auto holder = table.Lookup(valid_.text);
  ASSERT_TRUE(holder);
  EXPECT_EQ(holder->account, ClientAccountId("shop"));
  EXPECT_EQ(holder->key, valid_.entry.id);
}

// Guards against a comparison that ignores part of the secret.
TEST_F(KeyTableTest, RefusesSecretThatDiffersInOneDigit) {
  const auto secret_begin = valid_.text.rfind('_') + 1;
  for (auto i = secret_begin; i < valid_.text.size(); ++i) {
    auto text = valid_.text;
    text[i] = text[i] == '0' ? '1' : '0';
    EXPECT_EQ(RefusalOf(text).kind, KeyRefusalKind::kUnknown);
  }
}

// Guards against a refusal that tells a guesser that an id exists or is
// revoked.
TEST_F(KeyTableTest, WrongSecretOfRevokedKeyIsUnknown) {
  auto text = revoked_.text;
  text.back() = text.back() == '0' ? '1' : '0';
  EXPECT_EQ(RefusalOf(text).kind, KeyRefusalKind::kUnknown);
  EXPECT_EQ(RefusalOf(revoked_.text).kind, KeyRefusalKind::kRevoked);
  EXPECT_EQ(RefusalOf("dk_none_" + std::string(64, 'a')).kind,
            KeyRefusalKind::kUnknown);
}

// Guards against parsing that reads beyond the form of a key.
TEST_F(KeyTableTest, RefusesMalformedTexts) {
  const std::string secret(64, 'a');
  for (const auto& text :
       {std::string(), std::string("dk_"), "dk__" + secret, "dk_a" + secret,
        "dk_a_" + secret + "a", "dk_a_" + secret.substr(1), "DK_a_" + secret,
        "dk_A_" + secret, "dk_a_" + std::string(64, 'G'),
        "dk_" + std::string(33, 'a') + "_" + secret,
        "dk_a_" + secret.substr(2) + std::string(2, '\0')}) {
    EXPECT_EQ(RefusalOf(text).kind, KeyRefusalKind::kMalformed) << text;
  }
}

// Guards against secrets in logs and error bodies.
TEST_F(KeyTableTest, RefusalContainsNoSecret) {
  const auto secret = revoked_.text.substr(revoked_.text.rfind('_') + 1);
  const auto error = RefusalOf(revoked_.text).ToError();
  EXPECT_EQ(error.Text().find(secret.substr(0, 8)), std::string::npos);
  EXPECT_EQ(FormatSection(document_, Section::kAccounts).find(secret),
            std::string::npos);
}

// Guards against a digest that depends on the salt or the digest key only in
// name.
TEST_F(KeyTableTest, DigestDependsOnSaltAndDigestKey) {
  const std::string secret(64, 'a');
  std::array<unsigned char, kKeySaltBytes> salt{};
  const auto digest = DigestSecret(secret, salt, digest_key_);
  EXPECT_NE(DigestSecret(secret, salt, TestDigestKey('b')), digest);
  salt.back() = 1;
  EXPECT_NE(DigestSecret(secret, salt, digest_key_), digest);
}

// Guards against keys whose random parts repeat.
TEST_F(KeyTableTest, RandomMaterialDiffers) {
  const auto first = RandomKeyMaterial();
  const auto second = RandomKeyMaterial();
  EXPECT_NE(first.secret, second.secret);
  EXPECT_NE(first.salt, second.salt);
  EXPECT_NE(first.id, second.id);
}

// Guards against a failure message that repeats the digest key.
TEST(DigestKeyTest, FailureDoesNotRepeatTheText) {
  for (const auto& text :
       {std::string("0badc0de"), std::string(64, 'x'), std::string(66, '7')}) {
    const auto key = DigestKey::FromHex(text);
    ASSERT_FALSE(key);
    EXPECT_EQ(key.error().Text().find(text), std::string::npos);
  }
  EXPECT_FALSE(DigestKey::FromFile("/nonexistent"));
}

}  // namespace
}  // namespace dotterellug
