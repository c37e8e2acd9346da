#pragma once

// Access to the platform's object API, which holds all durable state.
// Needs: core, cxxtools.

#include "store/port/object_record.h"
