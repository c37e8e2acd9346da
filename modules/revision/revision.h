#pragma once

// Revisions of the serving document in the object store: commit of edits with
// conditional update of one head object, history and rollback, and following of
// the head by daemons. A section is opaque text except in bridge/; the caller
// passes the function that validates the whole document. Needs: core, store,
// document, libsodium, nlohmann-json.

#include "revision/bridge/document_bridge.h"
#include "revision/commit/edit.h"
#include "revision/commit/revision_repository.h"
#include "revision/content/content_digest.h"
#include "revision/content/immutable_objects.h"
#include "revision/content/text_chunks.h"
#include "revision/follow/head_watch.h"
#include "revision/follow/revision_follower.h"
#include "revision/model/revision.h"
