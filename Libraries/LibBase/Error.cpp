#include "LibBase/Error.h"

#include <array>

namespace fennelline {

namespace {

constexpr std::array<const char*, 15> kErrorNames = {
  "ok",
  "invalid JSON",
  "invalid field",
  "unknown field",
  "missing field",
  "invalid configuration",
  "invalid message",
  "conflict",
  "not found",
  "unavailable",
  "timed out",
  "unauthorized",
  "limit exceeded",
  "stopped",
  "input or output failed",
};

class Category final : public std::error_category {
public:
  const char* name() const noexcept override { return "fennelline"; }
  std::string message(int aValue) const override {
    if (aValue < 0 || aValue >= static_cast<int>(kErrorNames.size())) {
      return "unknown error";
    }
    return kErrorNames.at(static_cast<std::size_t>(aValue));
  }
};

} // namespace

const std::error_category& FennellineCategory() {
  static const Category category;
  return category;
}

std::error_code make_error_code(ErrorCode aCode) { // NOLINT(readability-identifier-naming)
  return {static_cast<int>(aCode), FennellineCategory()};
}

} // namespace fennelline
