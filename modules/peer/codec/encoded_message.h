#pragma once

#include <string>

#include "core/errors/error.h"
#include "nlohmann/json.hpp"

namespace dotterellug {

// A typed message as PeerRequestClient sends it.
struct EncodedMessage {
  std::string method;
  nlohmann::json parameters;
};

}  // namespace dotterellug
