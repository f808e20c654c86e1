#include "LibBase/Log.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace fennelline {

bool SetLogLevel(const std::string& aLevel) {
  const spdlog::level::level_enum level = spdlog::level::from_str(aLevel);
  if (level == spdlog::level::off && aLevel != "off") {
    return false;
  }
  spdlog::set_level(level);
  return true;
}

Logger MakeLogger(const std::string& aPart) {
  static const spdlog::sink_ptr sink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
  Logger existing = spdlog::get(aPart);
  if (existing) {
    return existing;
  }
  Logger logger = std::make_shared<spdlog::logger>(aPart, sink);
  logger->set_pattern("%Y-%m-%dT%H:%M:%S.%eZ %l %n: %v", spdlog::pattern_time_type::utc);
  spdlog::initialize_logger(logger);
  logger->set_pattern("%Y-%m-%dT%H:%M:%S.%eZ %l %n: %v", spdlog::pattern_time_type::utc);
  return logger;
}

} // namespace fennelline
