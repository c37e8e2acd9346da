#pragma once

#include "core/errors/error.h"
#include "document/sections/document_parser.h"
#include "document/sections/section.h"
#include "revision/model/revision.h"

namespace dotterellug {

// Connects revisions, whose sections are opaque texts, with the serving
// document.

// The texts by section; kProtocol when a revision has a section that this
// version does not know.
auto ToDocumentTexts(const SectionTexts& texts) -> Result<DocumentTexts>;

// The name under which revisions hold the section.
auto RevisionName(Section section) -> SectionName;

// For RevisionRepository::Commit: fails with kInvalidArgument and all faults in
// the message unless the texts are a valid serving document.
auto ValidateSections(const SectionTexts& texts) -> Result<void>;

}  // namespace dotterellug
