#include "LibHttp/RequestHead.h"

#include <string>

namespace fennelline {

namespace {

constexpr int kBadRequest = 400;
constexpr int kVersionNotSupported = 505;

std::string_view FindAmbiguity(const MessageHead& aHead) {
  if (!aHead.m_target.starts_with('/')) {
    return "request target is not an absolute path";
  }
  if (aHead.m_headers.Count("host") != 1) {
    return "request must have exactly one Host header";
  }
  const std::string* coding = aHead.m_headers.Find("transfer-encoding");
  if (coding != nullptr &&
      (!EqualIgnoringCase(*coding, "chunked") || aHead.m_headers.Count("transfer-encoding") != 1 ||
       aHead.m_headers.Count("content-length") != 0)) {
    return "ambiguous or unsupported message framing";
  }
  if (aHead.m_headers.Count("content-length") > 1) {
    return "more than one Content-Length header";
  }
  return {};
}

} // namespace

std::optional<HeadProblem> FindHeadProblem(const MessageHead& aHead) {
  if (aHead.m_majorVersion != 1) {
    return HeadProblem{kVersionNotSupported, "not a version of HTTP/1"};
  }
  const std::string_view ambiguity = FindAmbiguity(aHead);
  return ambiguity.empty() ? std::nullopt : std::optional<HeadProblem>({kBadRequest, ambiguity});
}

} // namespace fennelline
