#pragma once

#include <string>
#include <vector>

#include "budget/messages/budget_messages.h"
#include "peer/codec/encoded_message.h"

namespace dotterellug {

// Method names and JSON parameters of budget messages, such as
// "budget.change_share".
auto BudgetMethods() -> std::vector<std::string>;
auto EncodeBudgetMessage(const BudgetMessage& message) -> EncodedMessage;
// Fails with kProtocol, also for a method that is not of BudgetMethods.
auto DecodeBudgetMessage(const std::string& method,
                         const nlohmann::json& parameters)
    -> Result<BudgetMessage>;

}  // namespace dotterellug
