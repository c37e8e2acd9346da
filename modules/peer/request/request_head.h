#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "peer/auth/fleet_key.h"
#include "peer/auth/freshness_guard.h"
#include "peer/auth/message_header.h"

namespace dotterellug {

// HTTP headers of requests and responses between daemons. The MAC covers the
// text of kHeadHeader and the whole HTTP body, so nothing of an unauthenticated
// body is parsed.
inline constexpr const char* kHeadHeader = "Peer-Head";
inline constexpr const char* kMacHeader = "Peer-Mac";

// Fields separated by spaces, such as "1 entry-1 5 entry-2 0 123 7".
auto EncodeRequestHead(const MessageHeader& header) -> std::string;
auto ParseRequestHead(std::string_view text) -> std::optional<MessageHeader>;

struct ResponseHead {
  Incarnation incarnation;
  ReceiverEpoch epoch = 0;
  // kNone when the request was handed to its handler.
  PeerRefusal refusal = PeerRefusal::kNone;
};

auto EncodeResponseHead(const ResponseHead& head) -> std::string;
auto ParseResponseHead(std::string_view text) -> std::optional<ResponseHead>;
// What the MAC of a response covers as its head: the MAC of the request as
// well, so that a response cannot be passed off as the one to another request.
auto ResponseMacHead(std::string_view response_head,
                     std::string_view request_mac) -> std::string;

auto EncodeMac(const MessageMac& mac) -> std::string;
auto ParseMac(std::string_view text) -> std::optional<MessageMac>;

}  // namespace dotterellug
