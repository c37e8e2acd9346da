#pragma once

#include "document/model/serving_document.h"
#include "document/validation/document_positions.h"
#include "yaml/faults/fault_list.h"

namespace dotterellug {

// Checks the rules that span several entries or sections: references resolve,
// pools and addresses do not clash, and every model and adapter fits on some
// engine. ParseDocument calls it; call it directly for a document that was
// built in code.
auto Validate(const ServingDocument& document,
              const DocumentPositions& positions = {}) -> FaultList;

}  // namespace dotterellug
