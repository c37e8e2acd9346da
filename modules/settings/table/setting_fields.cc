#include "settings/table/setting_fields.h"

namespace dotterellug {

auto LogFormatRule() -> const ChoiceRule<LogFormat>& {
  static const ChoiceRule<LogFormat> rule{
      {{"text", LogFormat::kText}, {"json", LogFormat::kJson}}};
  return rule;
}

auto LogLevelRule() -> const ChoiceRule<LogLevel>& {
  static const ChoiceRule<LogLevel> rule{{{"debug", LogLevel::kDebug},
                                          {"info", LogLevel::kInfo},
                                          {"warning", LogLevel::kWarning},
                                          {"error", LogLevel::kError}}};
  return rule;
}

}  // namespace dotterellug
