#pragma once

#include <memory>
#include <string>

namespace spdlog {
class logger;
}

namespace fennelline {

using Logger = std::shared_ptr<spdlog::logger>;

/// Sets the level ("debug", "info", "warn", "error") for all loggers. Returns false for an unknown
/// level.
bool SetLogLevel(const std::string& aLevel);

/// Returns the logger of a component. Each line starts with the time, the level and "aPart: ".
/// Source files that log must include <spdlog/spdlog.h>.
Logger MakeLogger(const std::string& aPart);

} // namespace fennelline
