#pragma once

#include <array>
#include <optional>
#include <string>
#include <string_view>

namespace dotterellug {

// A part of the serving document that one team owns and edits as one YAML text.
enum class Section { kAccounts, kModels, kZones, kLimits, kUpstreams };

inline constexpr std::array<Section, 5> kAllSections{
    Section::kAccounts, Section::kModels, Section::kZones, Section::kLimits,
    Section::kUpstreams};

// The name in object names, file names and messages, such as "accounts".
auto NameOf(Section section) -> std::string_view;
auto FindSection(std::string_view name) -> std::optional<Section>;

// The YAML texts of all sections. An empty text is an empty section.
class DocumentTexts {
 public:
  auto Get(Section section) const -> const std::string& {
    return texts_[static_cast<std::size_t>(section)];
  }
  auto Set(Section section, std::string text) -> void {
    texts_[static_cast<std::size_t>(section)] = std::move(text);
  }

  friend auto operator==(const DocumentTexts& a, const DocumentTexts& b)
      -> bool {
    return a.texts_ == b.texts_;
  }

 private:
  std::array<std::string, kAllSections.size()> texts_;
};

}  // namespace dotterellug
