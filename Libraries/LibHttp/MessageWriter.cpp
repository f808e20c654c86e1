#include "LibHttp/MessageWriter.h"

#include <array>
#include <charconv>
#include <http_parser.h>

namespace fennelline {

namespace {

constexpr int kHexadecimal = 16;

std::string_view ReasonPhrase(int aStatus) {
  // http_status_str() returns "<unknown>" for unknown codes, which is not a valid reason phrase.
  const std::string_view reason = http_status_str(static_cast<http_status>(aStatus));
  return reason.starts_with('<') ? "Status" : reason;
}

} // namespace

std::string StatusLine(int aStatus) {
  std::string line = "HTTP/1.1 " + std::to_string(aStatus) + " ";
  line += ReasonPhrase(aStatus);
  line += "\r\n";
  return line;
}

void AppendHeader(std::string& aText, std::string_view aName, std::string_view aValue) {
  aText += aName;
  aText += ": ";
  aText += aValue;
  aText += "\r\n";
}

void AppendChunk(std::string& aText, std::string_view aPart) {
  if (aPart.empty()) {
    return;
  }
  std::array<char, kHexadecimal> digits;
  const std::to_chars_result written =
    std::to_chars(digits.data(), digits.data() + digits.size(), aPart.size(), kHexadecimal);
  aText.append(digits.data(), written.ptr);
  aText += "\r\n";
  aText += aPart;
  aText += "\r\n";
}

std::string WriteRequest(std::string_view aMethod, std::string_view aTarget,
                         const HeaderList& aHeaders, std::string_view aBody) {
  std::string text;
  text += aMethod;
  text += ' ';
  text += aTarget;
  text += " HTTP/1.1\r\n";
  for (const Header& header : aHeaders.Rows()) {
    AppendHeader(text, header.m_name, header.m_value);
  }
  const bool hasBody = !aBody.empty() || aMethod == "POST" || aMethod == "PUT";
  if (hasBody) {
    AppendHeader(text, "Content-Length", std::to_string(aBody.size()));
  }
  text += "\r\n";
  text += aBody;
  return text;
}

} // namespace fennelline
