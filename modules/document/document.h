#pragma once

// The serving document: what operators declare about client accounts, keys,
// models, adapters, availability zones, limits, upstreams and routes.
// Needs: core, yaml, yaml-cpp, libsodium.

#include "document/diff/document_diff.h"
#include "document/edit/section_edit.h"
#include "document/format/document_formatter.h"
#include "document/keys/caller_key_text.h"
#include "document/keys/digest_key.h"
#include "document/keys/key_table.h"
#include "document/model/serving_document.h"
#include "document/sections/document_parser.h"
#include "document/sections/section.h"
#include "document/snapshot/serving_snapshot.h"
#include "document/validation/validate.h"
