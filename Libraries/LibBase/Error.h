#pragma once

#include <optional>
#include <string>
#include <system_error>
#include <utility>
#include <variant>

namespace fennelline {

/// Error conditions reported by the libraries. Error.cpp assigns each a stable name.
enum class ErrorCode {
  Ok = 0,
  InvalidJson,
  InvalidField,
  UnknownField,
  MissingField,
  InvalidConfiguration,
  InvalidMessage,
  Conflict,
  NotFound,
  Unavailable,
  TimedOut,
  Unauthorized,
  LimitExceeded,
  Stopped,
  Io,
};

const std::error_category& FennellineCategory();
std::error_code make_error_code(ErrorCode aCode); // NOLINT(readability-identifier-naming)

/// An error code with a human-readable description.
struct Error {
  std::error_code m_code;
  std::string m_detail;
};

inline Error MakeError(ErrorCode aCode, std::string aDetail) {
  return Error{.m_code = make_error_code(aCode), .m_detail = std::move(aDetail)};
}

/// A value or an error, returned by fallible functions. TRY propagates the error to the caller.
template<typename Value>
class [[nodiscard]] Result {
public:
  Result(Value aValue)
    : m_state(std::move(aValue)) {}
  Result(Error aError)
    : m_state(std::move(aError)) {}

  bool IsError() const { return std::holds_alternative<Error>(m_state); }
  explicit operator bool() const { return !IsError(); }
  const Error& GetError() const { return std::get<Error>(m_state); }
  Error TakeError() { return std::move(std::get<Error>(m_state)); }
  const Value& Get() const { return std::get<Value>(m_state); }
  Value& Get() { return std::get<Value>(m_state); }
  Value Take() { return std::move(std::get<Value>(m_state)); }

private:
  std::variant<Value, Error> m_state;
};

template<>
class [[nodiscard]] Result<void> {
public:
  Result() = default;
  Result(Error aError)
    : m_error(std::move(aError)) {}

  bool IsError() const { return m_error.has_value(); }
  explicit operator bool() const { return !IsError(); }
  const Error& GetError() const { return *m_error; }
  Error TakeError() { return std::move(*m_error); }
  void Take() {}

private:
  std::optional<Error> m_error;
};

} // namespace fennelline

template<>
struct std::is_error_code_enum<fennelline::ErrorCode> : std::true_type {};

/// Evaluates a Result expression and yields its value, or returns its error from the enclosing
/// function.
#define TRY(aExpression)                                                                           \
  ({                                                                                               \
    auto tryResult = (aExpression);                                                                \
    if (tryResult.IsError()) {                                                                     \
      return tryResult.TakeError();                                                                \
    }                                                                                              \
    tryResult.Take();                                                                              \
  })
