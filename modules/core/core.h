#pragma once

// Types that every other module uses: strong ids and units, typed errors, time,
// seeded random numbers. Needs: the standard library, tl::expected and xxHash.
// No threads, sockets or clocks, except that time/time.h offers readings of the
// system's clocks to the programs that wire modules together.

#include "core/errors/error.h"
#include "core/hash/hash.h"
#include "core/ids/ids.h"
#include "core/ids/strong_integer.h"
#include "core/ids/strong_string.h"
#include "core/net/body_framing.h"
#include "core/net/request_target.h"
#include "core/net/socket_address.h"
#include "core/net/status_code.h"
#include "core/net/target_reader.h"
#include "core/priority/priority_class.h"
#include "core/process/control_signals.h"
#include "core/random/random.h"
#include "core/text/ascii_case.h"
#include "core/text/json_depth.h"
#include "core/text/percent_encoding.h"
#include "core/text/utf8.h"
#include "core/time/time.h"
#include "core/variant/overloaded.h"
