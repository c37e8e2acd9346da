#include <gtest/gtest.h>

#include <map>

#include "peer/request/json_conversion.h"
#include "peer/tests/sample_messages.h"

namespace dotterellug {
namespace {

using Json = nlohmann::json;
using testing::SampleMessages;

// Names of all fields, nested ones with their path, without array elements
// after the first.
auto FieldNames(const Json& json) -> std::string {
  std::string names;
  const auto flat = json.flatten();
  for (const auto& [path, value] : flat.items()) {
    if (path.find("/1") == std::string::npos) names += path + " ";
  }
  return names;
}

// What each codec has in common for the tests.
struct CodecCase {
  EncodedMessage encoded;
  // Decodes and encodes again.
  std::function<Result<EncodedMessage>(const EncodedMessage&)> again;
};

auto Sample(SampleMessages* samples, std::size_t kind) -> CodecCase {
  const auto budgets = BudgetMethods().size();
  if (kind < budgets) {
    return {EncodeBudgetMessage(samples->Budget(kind)),
            [](const EncodedMessage& encoded) {
              return DecodeBudgetMessage(encoded.method, encoded.parameters)
                  .map(EncodeBudgetMessage);
            }};
  }
  return {EncodeClaimMessage(samples->Claim(kind - budgets)),
          [](const EncodedMessage& encoded) {
            return DecodeClaimMessage(encoded.method, encoded.parameters)
                .map(EncodeClaimMessage);
          }};
}

const std::size_t kKinds = BudgetMethods().size() + ClaimMethods().size();

// Guards against a field that is lost in both directions, which a round trip
// alone does not show.
TEST(Codec, EncodesAllFields) {
  const std::string claimant =
      "/claimant/member/incarnation /claimant/member/instance "
      "/claimant/sequence ";
  const std::string member = "/member/incarnation /member/instance ";
  const std::string term = "/owner/incarnation /owner/instance /shard /term ";
  const std::string transfer =
      "/amount /budget /id/requester/incarnation /id/requester/instance "
      "/id/sequence /shard ";
  const auto record = [](const std::string& path) {
    std::string names;
    for (const auto* name :
         {"claimant/member/incarnation", "claimant/member/instance",
          "claimant/sequence", "claimed_at", "key", "request", "response/body",
          "response/body_stored", "response/status", "state/name"}) {
      names += path + "/" + name + " ";
    }
    return names;
  };
  const std::map<std::string, std::string> expected{
      {"budget.announce_term", term},
      {"budget.report_holdings",
       "/holdings/0/budget /holdings/0/share " + member + "/shard /term "},
      {"budget.change_share", "/budget /sequence /shard /share /term /tokens "},
      {"budget.share_changed",
       "/budget " + member + "/released /sequence /shard /term "},
      {"budget.report_demand",
       member + "/sequence /shard /totals/0/admitted /totals/0/budget "
                "/totals/0/largest /totals/0/refused "},
      {"budget.request_transfer", transfer},
      {"budget.grant_transfer", transfer},
      {"claim.announce_term", term},
      {"claim.report", record("/kept/0") + member + "/shard /term "},
      {"claim.request", claimant + "/key /request /shard "},
      {"claim.result", claimant + "/key /response/body /response/body_stored "
                                  "/response/status /shard /state/name "},
      {"claim.result_stored", claimant + "/key /shard "},
      {"claim.countersign", "/owner/incarnation /owner/instance " +
                                record("/record") + "/shard /term "},
      {"claim.countersigned", claimant + "/key " + member + "/shard /term "},
  };
  SampleMessages samples(42);
  std::size_t compared = 0;
  for (std::size_t kind = 0; kind < kKinds; ++kind) {
    const auto encoded = Sample(&samples, kind).encoded;
    const auto names = expected.find(encoded.method);
    if (names == expected.end()) continue;
    EXPECT_EQ(names->second, FieldNames(encoded.parameters)) << encoded.method;
    ++compared;
  }
  EXPECT_EQ(expected.size(), compared);
}

// Guards against values that change in a codec or in the JSON library of the
// transport.
TEST(Codec, DecodesWhatItEncodes) {
  SampleMessages samples(43);
  for (int round = 0; round < 3000; ++round) {
    const auto test = Sample(&samples, round % kKinds);
    auto received = test.encoded;
    received.parameters = FromJsonCpp(ToJsonCpp(received.parameters));
    const auto again = test.again(received);
    ASSERT_TRUE(again) << test.encoded.method << again.error().Text();
    EXPECT_EQ(test.encoded.method, again->method);
    EXPECT_EQ(test.encoded.parameters, again->parameters);
  }
  const auto pulled = DecodeFields<PulledObject>(
      EncodeFields(PulledObject{"config/section/1", "text: ü"}));
  EXPECT_EQ("config/section/1", pulled->name);
  EXPECT_EQ("text: ü", pulled->text);
}

// Guards against messages that are taken although a field is missing or has
// another type, and against exceptions of the JSON library.
TEST(Codec, RejectsMissingAndWrongFields) {
  SampleMessages samples(44);
  const std::vector<Json> wrong{nullptr,          -0.5,   18446744073709551615u,
                                Json::array({1}), "text", Json::object()};
  int rejected = 0;
  for (int round = 0; round < 6000; ++round) {
    const auto test = Sample(&samples, round % kKinds);
    auto broken = test.encoded;
    const auto flat = broken.parameters.flatten();
    const auto chosen =
        std::next(flat.begin(), static_cast<int>(samples.Below(flat.size())));
    const Json::json_pointer pointer(chosen.key());
    auto& parent = broken.parameters[pointer.parent_pointer()];
    if (round % 2 == 0 && parent.is_object()) {
      parent.erase(pointer.back());
      const auto result = test.again(broken);
      ASSERT_FALSE(result) << test.encoded.method << chosen.key();
      EXPECT_EQ(ErrorKind::kProtocol, result.error().kind);
    } else {
      broken.parameters[pointer] = wrong[samples.Below(wrong.size())];
      rejected += test.again(broken) ? 0 : 1;
    }
  }
  EXPECT_GT(rejected, 2000);
  EXPECT_EQ(ErrorKind::kProtocol,
            DecodeBudgetMessage("budget.other", Json::object()).error().kind);
  EXPECT_EQ(ErrorKind::kProtocol,
            DecodeClaimMessage("claim.request", "text").error().kind);
}

// Guards against crashes of the membership codec on any bytes.
TEST(Codec, DecodesMembershipBytesWithoutCrash) {
  SampleMessages samples(45);
  const auto message = samples.Membership();
  const auto body = EncodeMemberMessage(message);
  const auto decoded = DecodeMemberMessage(body);
  ASSERT_TRUE(decoded);
  EXPECT_EQ(body, EncodeMemberMessage(*decoded));
  EXPECT_EQ(message.sequence, decoded->sequence);
  EXPECT_FALSE(DecodeMemberMessage("text"));
  const auto& bytes = body.get_binary();
  for (int round = 0; round < 20'000; ++round) {
    std::vector<std::uint8_t> changed = bytes;
    const auto position = samples.Below(changed.size());
    changed[position] = static_cast<std::uint8_t>(samples.Below(256));
    if (round % 2 == 0) changed.resize(position);
    const auto result = DecodeMemberMessage(Json::binary(changed));
    EXPECT_TRUE(result || result.error().kind == ErrorKind::kProtocol);
    EXPECT_FALSE(result && round % 2 == 0);
  }
}

}  // namespace
}  // namespace dotterellug
