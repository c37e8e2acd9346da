#pragma once

#include "document/model/serving_document.h"
#include "document/sections/section.h"
#include "tl/expected.hpp"
#include "yaml/faults/fault_list.h"
#include "yaml/tree/tree_builder.h"

namespace dotterellug {

// Bounds on one section. The largest section, upstreams with 5,200 engines,
// has about 60,000 values in 1 MB.
inline constexpr YamlLimits kSectionLimits{8UL << 20U, 8, 1'000'000, 4096};

// Reads all sections and checks them as a whole. The failure lists every fault
// with section, line, value and remedy, in the order of the texts. Rules that
// span sections are only checked when all entries have readable ids, because
// otherwise they would report references to entries that are merely misspelt.
auto ParseDocument(const DocumentTexts& texts)
    -> tl::expected<ServingDocument, FaultList>;

// A valid document and the texts from which it was parsed.
struct ParsedDocument {
  DocumentTexts texts;
  ServingDocument document;
};

// Gives the same as ParseDocument(texts), but takes sections whose text is the
// same from `previous`. For daemons, which receive many revisions that change
// one small section.
auto ParseChanges(const ParsedDocument& previous, const DocumentTexts& texts)
    -> tl::expected<ServingDocument, FaultList>;

}  // namespace dotterellug
