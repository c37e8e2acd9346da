#pragma once

#include <array>
#include <optional>
#include <string_view>
#include <utility>
#include <variant>

#include "peer/codec/encoded_message.h"
#include "peer/codec/json_archive.h"

namespace dotterellug {

// Decodes the alternative with that index; the index must exist.
template <typename Variant, std::size_t kIndex = 0>
auto DecodeAlternative(std::size_t index, const nlohmann::json& json)
    -> Result<Variant> {
  if constexpr (kIndex < std::variant_size_v<Variant>) {
    if (index != kIndex) {
      return DecodeAlternative<Variant, kIndex + 1>(index, json);
    }
    auto message =
        DecodeFields<std::variant_alternative_t<kIndex, Variant>>(json);
    if (!message) return tl::unexpected(message.error());
    return Variant(std::in_place_index<kIndex>, std::move(*message));
  } else {
    return Fail(ErrorKind::kProtocol, "unknown message of a peer",
                "check that both daemons have the same version");
  }
}

// Position of `name`; the number of names when it is none of them.
template <std::size_t kCount>
auto NamePosition(const std::array<std::string_view, kCount>& names,
                  std::string_view name) -> std::size_t {
  std::size_t position = 0;
  while (position < kCount && names[position] != name) ++position;
  return position;
}

// Encodes the alternative that the variant holds under its name.
template <typename Variant, std::size_t kCount>
auto EncodeVariant(const std::array<std::string_view, kCount>& names,
                   const Variant& message) -> EncodedMessage {
  static_assert(kCount == std::variant_size_v<Variant>);
  return {std::string(names[message.index()]),
          std::visit([](const auto& value) { return EncodeFields(value); },
                     message)};
}

}  // namespace dotterellug
