#include "peer/request/request_head.h"

#include <sodium.h>

#include <charconv>
#include <vector>

namespace dotterellug {

namespace {

// Format of heads; another one is refused as malformed.
constexpr std::string_view kFormat = "1";
constexpr std::size_t kMaxFields = 7;

auto Fields(std::string_view text) -> std::vector<std::string_view> {
  std::vector<std::string_view> fields;
  while (fields.size() <= kMaxFields) {
    const auto space = text.find(' ');
    fields.push_back(text.substr(0, space));
    if (space == std::string_view::npos) break;
    text.remove_prefix(space + 1);
  }
  return fields;
}

template <typename Number>
auto ReadNumber(std::string_view text, Number* number) -> bool {
  const auto* end = text.data() + text.size();
  const auto read = std::from_chars(text.data(), end, *number);
  return read.ec == std::errc{} && read.ptr == end;
}

auto ReadIncarnation(std::string_view text, Incarnation* incarnation) -> bool {
  std::int64_t number = 0;
  if (!ReadNumber(text, &number) || number < 0) return false;
  *incarnation = Incarnation{number};
  return true;
}

auto ReadInstance(std::string_view text, InstanceId* instance) -> bool {
  if (text.empty() || text.size() > kMaxInstanceIdBytes) return false;
  *instance = InstanceId{std::string(text)};
  return true;
}

auto Join(std::initializer_list<std::string> fields) -> std::string {
  std::string text(kFormat);
  for (const auto& field : fields) text.append(" ").append(field);
  return text;
}

}  // namespace

auto EncodeRequestHead(const MessageHeader& header) -> std::string {
  return Join({header.sender.instance.Value(),
               std::to_string(header.sender.incarnation.Value()),
               header.receiver.Value(),
               std::to_string(header.receiver_incarnation.Value()),
               std::to_string(header.receiver_epoch),
               std::to_string(header.sequence)});
}

auto ParseRequestHead(std::string_view text) -> std::optional<MessageHeader> {
  const auto fields = Fields(text);
  if (fields.size() != 7 || fields[0] != kFormat) return std::nullopt;
  MessageHeader header;
  const auto valid = ReadInstance(fields[1], &header.sender.instance) &&
                     ReadIncarnation(fields[2], &header.sender.incarnation) &&
                     ReadInstance(fields[3], &header.receiver) &&
                     ReadIncarnation(fields[4], &header.receiver_incarnation) &&
                     ReadNumber(fields[5], &header.receiver_epoch) &&
                     ReadNumber(fields[6], &header.sequence);
  if (!valid) return std::nullopt;
  return header;
}

auto EncodeResponseHead(const ResponseHead& head) -> std::string {
  return Join({std::to_string(head.incarnation.Value()),
               std::to_string(head.epoch),
               std::string(RefusalName(head.refusal))});
}

auto ParseResponseHead(std::string_view text) -> std::optional<ResponseHead> {
  const auto fields = Fields(text);
  if (fields.size() != 4 || fields[0] != kFormat) return std::nullopt;
  ResponseHead head;
  if (!ReadIncarnation(fields[1], &head.incarnation) ||
      !ReadNumber(fields[2], &head.epoch)) {
    return std::nullopt;
  }
  if (fields[3] != RefusalName(PeerRefusal::kNone)) {
    head.refusal = ParseRefusal(fields[3]);
  }
  return head;
}

auto ResponseMacHead(std::string_view response_head,
                     std::string_view request_mac) -> std::string {
  return std::string(response_head).append(" ").append(request_mac);
}

auto EncodeMac(const MessageMac& mac) -> std::string {
  std::string text(2 * mac.size() + 1, '\0');
  sodium_bin2hex(text.data(), text.size(), mac.data(), mac.size());
  text.pop_back();
  return text;
}

auto ParseMac(std::string_view text) -> std::optional<MessageMac> {
  MessageMac mac;
  std::size_t length = 0;
  if (text.size() != 2 * mac.size() ||
      sodium_hex2bin(mac.data(), mac.size(), text.data(), text.size(), nullptr,
                     &length, nullptr) != 0 ||
      length != mac.size()) {
    return std::nullopt;
  }
  return mac;
}

}  // namespace dotterellug
