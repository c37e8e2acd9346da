#pragma once

// The serving document: what operators declare about client accounts, keys,
// models, adapters, availability zones, limits, upstreams and routes.
// Needs: core, yaml-cpp, libsodium.

#include "document/model/serving_document.h"
