#pragma once

// Bounded reading of YAML that operators write: a tree with line numbers, typed
// access by rules, and a list of all faults. Used by settings and document.
// Needs: core, yaml-cpp.

#include "yaml/faults/fault_list.h"
#include "yaml/reader/map_reader.h"
#include "yaml/rules/quantities.h"
#include "yaml/rules/rules.h"
#include "yaml/tree/tree_builder.h"
#include "yaml/tree/yaml_node.h"
#include "yaml/tree/yaml_writer.h"
