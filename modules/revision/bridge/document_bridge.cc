#include "revision/bridge/document_bridge.h"

namespace dotterellug {

auto ToDocumentTexts(const SectionTexts& texts) -> Result<DocumentTexts> {
  DocumentTexts result;
  for (const auto& [name, text] : texts) {
    const auto section = FindSection(name.Value());
    if (!section) {
      return Fail(
          ErrorKind::kProtocol,
          "the revision has an unknown section \"" + name.Value() + "\"",
          "use the program version of the revision's author");
    }
    result.Set(*section, text);
  }
  return result;
}

auto RevisionName(Section section) -> SectionName {
  return SectionName(std::string(NameOf(section)));
}

auto ValidateSections(const SectionTexts& texts) -> Result<void> {
  const auto document_texts = ToDocumentTexts(texts);
  if (!document_texts) return tl::unexpected<Error>(document_texts.error());
  const auto document = ParseDocument(*document_texts);
  if (document) return {};
  return Fail(ErrorKind::kInvalidArgument,
              "the document has " + std::to_string(document.error().Total()) +
                  " faults:\n" + document.error().Text(),
              "correct the faults");
}

}  // namespace dotterellug
