#pragma once

#include <memory>
#include <string>

namespace spdlog {
class logger;
}

namespace fennelline {

using Logger = std::shared_ptr<spdlog::logger>;

/// Sets the level ("debug", "info", "warn", "error") for all loggers. Returns false for another
/// word.
bool SetLogLevel(const std::string& aLevel);

/// A logger for one part of the system. Each line starts with the time, the level and "aPart: ".
/// Sources that log include <spdlog/spdlog.h> themselves.
Logger MakeLogger(const std::string& aPart);

} // namespace fennelline
