#pragma once

// HTTP/1.1 on one event loop: a server whose answers can be streamed and whose
// peers are watched for leaving, and client connections that are cancelled or
// cut at any moment. Parsing is Boost.Beast's, sockets and timers are
// Boost.Asio's. Needs: core, Boost. Everything here belongs to the thread that
// runs the event loop.

#include "eventhttp/client/buffered_call.h"
#include "eventhttp/client/client_connection.h"
#include "eventhttp/client/connection_pool.h"
#include "eventhttp/memory/memory_account.h"
#include "eventhttp/message/head.h"
#include "eventhttp/message/header_fields.h"
#include "eventhttp/message/message_parser.h"
#include "eventhttp/message/status_text.h"
#include "eventhttp/server/http_server.h"
#include "eventhttp/server/server_session.h"
