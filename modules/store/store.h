#pragma once

// Access to the platform's object API, which holds all durable state: the port
// ObjectStore, its HTTP adapter, an in-memory store for deterministic tests,
// and the fault table that the in-memory store shares with the stand-in.
// Needs: core, cxxtools, nlohmann-json.

#include "store/faults/fault_table.h"
#include "store/http/http_object_store.h"
#include "store/memory/memory_object_store.h"
#include "store/memory/object_table.h"
#include "store/port/object_record.h"
#include "store/port/object_store.h"
