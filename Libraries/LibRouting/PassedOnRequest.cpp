#include "LibRouting/PassedOnRequest.h"

#include <charconv>
#include <string>
#include <string_view>

namespace fennelline {

namespace {

constexpr std::string_view kRunsLeft = "Entry-Runs-Left";
constexpr std::string_view kConfiguration = "Entry-Configuration";
constexpr std::string_view kNotTaken = "Entry-Not-Taken";

template<typename Number>
bool TakeNumber(HeaderList& aHeaders, std::string_view aName, Number& aNumber) {
  const std::string* value = aHeaders.Count(aName) == 1 ? aHeaders.Find(aName) : nullptr;
  if (value == nullptr) {
    return false;
  }
  const char* end = value->data() + value->size();
  const std::from_chars_result parsed = std::from_chars(value->data(), end, aNumber);
  const bool isValid = parsed.ec == std::errc() && parsed.ptr == end;
  aHeaders.Remove(aName);
  return isValid;
}

} // namespace

void AddPassedOn(HeaderList& aHeaders, const PassedOnRequest& aRequest) {
  aHeaders.Add(kRunsLeft, std::to_string(aRequest.m_runsLeft));
  aHeaders.Add(kConfiguration, std::to_string(aRequest.m_configuration));
}

Result<PassedOnRequest> TakePassedOn(HeaderList& aHeaders) {
  PassedOnRequest request;
  const bool isValid = TakeNumber(aHeaders, kRunsLeft, request.m_runsLeft) &&
                       TakeNumber(aHeaders, kConfiguration, request.m_configuration);
  if (!isValid || request.m_runsLeft < 1) {
    return MakeError(ErrorCode::InvalidField, "not a request of another entry");
  }
  return request;
}

void AddNotTaken(HeaderList& aHeaders) {
  aHeaders.Add(kNotTaken, "1");
}

bool IsNotTaken(const HeaderList& aHeaders) {
  return aHeaders.Find(kNotTaken) != nullptr;
}

} // namespace fennelline
