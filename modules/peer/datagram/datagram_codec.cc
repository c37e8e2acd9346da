#include "peer/datagram/datagram_codec.h"

#include <algorithm>
#include <cstring>
#include <tuple>
#include <utility>

namespace dotterellug {

namespace {

constexpr std::size_t kMacBytes = std::tuple_size_v<MessageMac>;

// Positions in the CBOR array.
enum Field : std::size_t {
  kKind,
  kSender,
  kSenderIncarnation,
  kSenderEpoch,
  kReceiver,
  kReceiverIncarnation,
  kReceiverEpoch,
  kSequence,
  kBody,
  kFieldCount,
};

auto ReadInstance(const nlohmann::json& field, InstanceId* instance) -> bool {
  if (!field.is_string()) return false;
  const auto& text = field.get_ref<const std::string&>();
  if (text.empty() || text.size() > kMaxInstanceIdBytes) return false;
  *instance = InstanceId{text};
  return true;
}

// CBOR has one form for numbers that are not negative, so all numbers of a
// header arrive unsigned.
auto ReadCount(const nlohmann::json& field, std::int64_t* number) -> bool {
  if (!field.is_number_unsigned()) return false;
  const auto value = field.get<std::uint64_t>();
  if (value > static_cast<std::uint64_t>(INT64_MAX)) return false;
  *number = static_cast<std::int64_t>(value);
  return true;
}

auto ReadIncarnation(const nlohmann::json& field, Incarnation* incarnation)
    -> bool {
  std::int64_t number = 0;
  if (!ReadCount(field, &number)) return false;
  *incarnation = Incarnation{number};
  return true;
}

auto ReadEpoch(const nlohmann::json& field, ReceiverEpoch* epoch) -> bool {
  if (!field.is_number_unsigned()) return false;
  *epoch = field.get<ReceiverEpoch>();
  return true;
}

auto ReadKind(const nlohmann::json& field, DatagramKind* kind) -> bool {
  if (!field.is_number_unsigned() || field.get<std::uint64_t>() > 1) {
    return false;
  }
  *kind = static_cast<DatagramKind>(field.get<std::uint8_t>());
  return true;
}

// A discarded value when the bytes are not CBOR. nlohmann-json 3.11.2 throws
// for an excessive length of an array or object even when told not to throw.
auto ParseCbor(std::string_view bytes) -> nlohmann::json {
  try {
    return nlohmann::json::from_cbor(bytes, true, false);
  } catch (const nlohmann::json::exception&) {
    return nlohmann::json(nlohmann::json::value_t::discarded);
  }
}

auto ReadFields(nlohmann::json* fields) -> std::optional<Datagram> {
  if (!fields->is_array() || fields->size() != kFieldCount) return std::nullopt;
  Datagram datagram;
  auto& header = datagram.header;
  auto& array = *fields;
  const auto valid =
      ReadKind(array[kKind], &datagram.kind) &&
      ReadInstance(array[kSender], &header.sender.instance) &&
      ReadIncarnation(array[kSenderIncarnation], &header.sender.incarnation) &&
      ReadEpoch(array[kSenderEpoch], &datagram.sender_epoch) &&
      ReadInstance(array[kReceiver], &header.receiver) &&
      ReadIncarnation(array[kReceiverIncarnation],
                      &header.receiver_incarnation) &&
      ReadEpoch(array[kReceiverEpoch], &header.receiver_epoch) &&
      ReadCount(array[kSequence], &header.sequence);
  if (!valid) return std::nullopt;
  datagram.body = std::move(array[kBody]);
  return datagram;
}

}  // namespace

auto EncodeDatagram(const Datagram& datagram, const FleetKey& key)
    -> Result<std::string> {
  const auto& header = datagram.header;
  const auto fields = nlohmann::json::array(
      {static_cast<std::uint8_t>(datagram.kind), header.sender.instance.Value(),
       header.sender.incarnation.Value(), datagram.sender_epoch,
       header.receiver.Value(), header.receiver_incarnation.Value(),
       header.receiver_epoch, header.sequence, datagram.body});
  std::string bytes(kMacBytes, '\0');
  nlohmann::json::to_cbor(fields, bytes);
  if (bytes.size() > kDatagramLimitBytes) {
    return Fail(ErrorKind::kTooLarge,
                "the datagram has " + std::to_string(bytes.size()) + " bytes",
                "keep the body within " +
                    std::to_string(kMaxDatagramBodyBytes) + " bytes of CBOR");
  }
  std::string_view content = bytes;
  content.remove_prefix(kMacBytes);
  const auto mac = key.Mac(MacPurpose::kDatagram, {}, content);
  std::memcpy(bytes.data(), mac.data(), mac.size());
  return bytes;
}

auto DecodeDatagram(std::string_view bytes, const FleetKey& key)
    -> DecodedDatagram {
  DecodedDatagram decoded;
  if (bytes.size() <= kMacBytes || bytes.size() > kDatagramLimitBytes) {
    return decoded;
  }
  MessageMac mac;
  std::memcpy(mac.data(), bytes.data(), mac.size());
  const auto content = bytes.substr(kMacBytes);
  decoded.authentic = key.Verify(mac, MacPurpose::kDatagram, {}, content);
  if (!decoded.authentic) return decoded;
  auto fields = ParseCbor(content);
  decoded.datagram = ReadFields(&fields);
  return decoded;
}

}  // namespace dotterellug
