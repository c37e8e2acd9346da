#pragma once

#include <cstdint>
#include <string>

#include "document/model/serving_document.h"
#include "yaml/rules/rules.h"

namespace dotterellug {

// What each key of the serving document accepts.

// Key ids have no underscore, because it separates the parts of a key's text.
inline constexpr std::size_t kMaxKeyIdLength = 32;
struct KeyIdRule {
  auto Parse(const YamlNode& node) const -> Result<std::string>;
  auto Describe() const -> std::string;
};

auto PriorityClassRule() -> const ChoiceRule<PriorityClass>&;
auto UpstreamKindRule() -> const ChoiceRule<UpstreamKind>&;
auto MethodRule() -> const ChoiceRule<std::string>&;

auto PriorityClassName(PriorityClass priority) -> std::string_view;
auto UpstreamKindName(UpstreamKind kind) -> std::string_view;

inline constexpr IntegerRule kTokensRule{1, 1'000'000'000'000};
inline constexpr IntegerRule kWeightRule{1, 1'000'000};
// The bounds of memory, copies and context keep sums and products over a whole
// document below 2^62.
inline constexpr BytesRule kMemoryRule{Bytes{1}, Bytes{1LL << 44U}};
inline constexpr BytesRule kTokenMemoryRule{Bytes{1}, Bytes{1LL << 30U}};
inline constexpr BytesRule kBodyRule{Bytes{1024}, Bytes{64LL << 20U}};
inline constexpr IntegerRule kContextRule{1, 100'000'000};
inline constexpr IntegerRule kCopiesRule{0, 10'000};
inline constexpr IntegerRule kPortRule{1, 65535};
inline constexpr IntegerRule kAcceleratorsRule{1, 1024};
inline constexpr IntegerRule kConcurrencyRule{1, 100'000};
inline constexpr IntegerRule kParallelLoadsRule{1, 10'000};
inline constexpr IntegerRule kQueueRule{1, 1'000'000};
inline constexpr NumberRule kLoadRateRule{0.001, 10'000};
inline constexpr DurationRule kDeadlineRule{std::chrono::milliseconds(10),
                                            std::chrono::hours(24)};
inline constexpr DurationRule kBatchAgeRule{std::chrono::seconds(1),
                                            std::chrono::hours(24 * 7)};
inline constexpr IdRule kNameRule{};
inline constexpr TextRule kVersionRule{128};
inline constexpr HexRule kSaltRule{16};
inline constexpr HexRule kDigestRule{32};

}  // namespace dotterellug
