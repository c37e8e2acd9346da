#pragma once

#include <string>
#include <vector>

#include "core/errors/error.h"
#include "document/document.h"

namespace dotterellug {

// Section texts with the files they were read from.
struct DocumentFiles {
  DocumentTexts texts;
  // Path per section; empty when there is no such file.
  std::vector<std::string> paths;
};

// Reads a file of at most the largest size of a section.
auto ReadTextFile(const std::string& path) -> Result<std::string>;

// Reads sections from folders and files. A file belongs to the section that it
// is named after, such as accounts.yaml. Sections that are not named are read
// from the folder of the first path if they are there, because a section can
// only be checked together with the others.
auto ReadDocumentFiles(const std::vector<std::string>& paths)
    -> Result<DocumentFiles>;

}  // namespace dotterellug
