#include "peer/codec/json_archive.h"

#include <sodium.h>

namespace dotterellug {

auto EncodeBytes(const std::string& bytes) -> std::string {
  std::string text(
      sodium_base64_encoded_len(bytes.size(), sodium_base64_VARIANT_ORIGINAL),
      '\0');
  sodium_bin2base64(text.data(), text.size(),
                    reinterpret_cast<const unsigned char*>(bytes.data()),
                    bytes.size(), sodium_base64_VARIANT_ORIGINAL);
  text.pop_back();
  return text;
}

auto DecodeBytes(const std::string& text, std::string* bytes) -> bool {
  bytes->assign(text.size(), '\0');
  std::size_t length = 0;
  const auto read =
      sodium_base642bin(reinterpret_cast<unsigned char*>(bytes->data()),
                        bytes->size(), text.data(), text.size(), nullptr,
                        &length, nullptr, sodium_base64_VARIANT_ORIGINAL);
  bytes->resize(length);
  return read == 0;
}

auto DecodeErrorKind(const std::string& name, ErrorKind* kind) -> bool {
  for (int index = 0; index <= static_cast<int>(ErrorKind::kInternal);
       ++index) {
    if (ErrorKindName(static_cast<ErrorKind>(index)) != name) continue;
    *kind = static_cast<ErrorKind>(index);
    return true;
  }
  return false;
}

}  // namespace dotterellug
