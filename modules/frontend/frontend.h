#pragma once

// HTTP towards callers: the server, request parsing with limits, and error
// bodies. Needs: core, libmicrohttpd, nlohmann-json.

#include "frontend/api/completion_request.h"
#include "frontend/api/error_body.h"
#include "frontend/http/http_message.h"
#include "frontend/http/http_server.h"
