#pragma once

#include <string>

#include "document/model/serving_document.h"
#include "document/sections/section.h"

namespace dotterellug {

// Writes one section as YAML. Entries are ordered by id and keys are in a fixed
// order; keys with their default value are left out. Parsing the text gives the
// same entries, so tools can parse, edit and write a section. Comments of the
// text that was parsed are not kept.
auto FormatSection(const ServingDocument& document, Section section)
    -> std::string;

auto FormatDocument(const ServingDocument& document) -> DocumentTexts;

}  // namespace dotterellug
