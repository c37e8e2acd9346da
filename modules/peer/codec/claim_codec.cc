#include "peer/codec/claim_codec.h"

#include "peer/codec/ownership_codec.h"
#include "peer/codec/variant_codec.h"

namespace dotterellug {

namespace {

// In the order of ClaimMessage.
constexpr std::array<std::string_view, 8> kMethods{
    "claim.announce_term", "claim.report",        "claim.request",
    "claim.answer",        "claim.result",        "claim.result_stored",
    "claim.countersign",   "claim.countersigned",
};

// In the order of ClaimVerdict.
constexpr std::array<std::string_view, 6> kVerdicts{
    "run",     "in_progress",       "first_response",
    "unknown", "different_request", "rejected",
};

// In the order of ClaimState.
constexpr std::array<std::string_view, 3> kStates{"running", "done", "unknown"};

}  // namespace

template <typename Archive>
auto Describe(Archive& archive,
              typename Archive::template Access<ClaimantId>& claimant) -> void {
  auto& [member, sequence] = claimant;
  archive("member", member);
  archive("sequence", sequence);
}

template <typename Archive>
auto Describe(Archive& archive,
              typename Archive::template Access<StoredResponse>& response)
    -> void {
  auto& [status, body, body_stored] = response;
  archive("status", status);
  archive("body", BytesField{body});
  archive("body_stored", body_stored);
}

auto Describe(JsonWriter& archive, const ClaimState& state) -> void {
  archive("name", std::string(kStates[static_cast<std::size_t>(state)]));
}

auto Describe(JsonReader& archive, ClaimState& state) -> void {
  std::string name;
  archive("name", name);
  const auto position = NamePosition(kStates, name);
  archive.Require("name", position < kStates.size());
  state = position < kStates.size() ? static_cast<ClaimState>(position)
                                    : ClaimState::kUnknown;
}

template <typename Archive>
auto Describe(Archive& archive,
              typename Archive::template Access<ClaimRecord>& record) -> void {
  auto& [key, request, claimant, state, response, claimed_at] = record;
  archive("key", key);
  archive("request", request);
  archive("claimant", claimant);
  archive("state", state);
  archive("response", response);
  archive("claimed_at", claimed_at);
}

template <typename Archive>
auto Describe(Archive& archive,
              typename Archive::template Access<ClaimRequest>& message)
    -> void {
  auto& [shard, key, request, claimant] = message;
  archive("shard", shard);
  archive("key", key);
  archive("request", request);
  archive("claimant", claimant);
}

template <typename Archive>
auto Describe(Archive&, typename Archive::template Access<RunGranted>&)
    -> void {}
template <typename Archive>
auto Describe(Archive&, typename Archive::template Access<InProgress>&)
    -> void {}
template <typename Archive>
auto Describe(Archive&, typename Archive::template Access<OutcomeUnknown>&)
    -> void {}
template <typename Archive>
auto Describe(Archive&, typename Archive::template Access<DifferentRequest>&)
    -> void {}

template <typename Archive>
auto Describe(Archive& archive,
              typename Archive::template Access<FirstResponse>& verdict)
    -> void {
  auto& [response] = verdict;
  archive("response", response);
}

template <typename Archive>
auto Describe(Archive& archive, typename Archive::template Access<Error>& error)
    -> void {
  auto& [kind, message, remedy] = error;
  archive("kind", kind);
  archive("message", message);
  archive("remedy", remedy);
}

template <typename Archive>
auto Describe(Archive& archive,
              typename Archive::template Access<ClaimRejected>& verdict)
    -> void {
  auto& [error] = verdict;
  archive("error", error);
}

auto Describe(JsonWriter& archive, const ClaimVerdict& verdict) -> void {
  auto encoded = EncodeVariant(kVerdicts, verdict);
  archive("name", encoded.method);
  archive.Add("value", std::move(encoded.parameters));
}

auto Describe(JsonReader& archive, ClaimVerdict& verdict) -> void {
  std::string name;
  archive("name", name);
  auto decoded = DecodeAlternative<ClaimVerdict>(NamePosition(kVerdicts, name),
                                                 archive.Get("value"));
  archive.Require("value", decoded.has_value());
  if (decoded) verdict = std::move(*decoded);
}

template <typename Archive>
auto Describe(Archive& archive,
              typename Archive::template Access<ClaimAnswer>& message) -> void {
  auto& [shard, key, claimant, verdict] = message;
  archive("shard", shard);
  archive("key", key);
  archive("claimant", claimant);
  archive("verdict", verdict);
}

template <typename Archive>
auto Describe(Archive& archive,
              typename Archive::template Access<ClaimResult>& message) -> void {
  auto& [shard, key, claimant, state, response] = message;
  archive("shard", shard);
  archive("key", key);
  archive("claimant", claimant);
  archive("state", state);
  archive("response", response);
}

template <typename Archive>
auto Describe(Archive& archive,
              typename Archive::template Access<ClaimResultStored>& message)
    -> void {
  auto& [shard, key, claimant] = message;
  archive("shard", shard);
  archive("key", key);
  archive("claimant", claimant);
}

template <typename Archive>
auto Describe(Archive& archive,
              typename Archive::template Access<CountersignRequest>& message)
    -> void {
  auto& [shard, term, owner, record] = message;
  archive("shard", shard);
  archive("term", term);
  archive("owner", owner);
  archive("record", record);
}

template <typename Archive>
auto Describe(Archive& archive,
              typename Archive::template Access<Countersigned>& message)
    -> void {
  auto& [shard, term, key, claimant, member] = message;
  archive("shard", shard);
  archive("term", term);
  archive("key", key);
  archive("claimant", claimant);
  archive("member", member);
}

template <typename Archive>
auto Describe(Archive& archive,
              typename Archive::template Access<ClaimReport>& message) -> void {
  auto& [shard, term, member, kept] = message;
  archive("shard", shard);
  archive("term", term);
  archive("member", member);
  archive("kept", kept);
}

auto ClaimMethods() -> std::vector<std::string> {
  return {kMethods.begin(), kMethods.end()};
}

auto EncodeClaimMessage(const ClaimMessage& message) -> EncodedMessage {
  return EncodeVariant(kMethods, message);
}

auto DecodeClaimMessage(const std::string& method,
                        const nlohmann::json& parameters)
    -> Result<ClaimMessage> {
  return DecodeAlternative<ClaimMessage>(NamePosition(kMethods, method),
                                         parameters);
}

}  // namespace dotterellug
