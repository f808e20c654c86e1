#pragma once

#include "LibHttp/HeaderList.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace fennelline {

/// The status line and headers of a response, without those that frame its body.
struct AnswerHead {
  int m_status = 200;
  HeaderList m_headers;
};

/// "HTTP/1.1 200 OK" and the like, with its line end.
std::string StatusLine(int aStatus);
/// Adds "NAME: VALUE" and the line end.
void AppendHeader(std::string& aText, std::string_view aName, std::string_view aValue);
/// Adds one chunk of a chunked body. An empty part adds nothing, for it would end the body.
void AppendChunk(std::string& aText, std::string_view aPart);
/// What ends a chunked body.
constexpr std::string_view kLastChunk = "0\r\n\r\n";

/// A whole request: the head given, framed by the body's length.
std::string WriteRequest(std::string_view aMethod, std::string_view aTarget,
                         const HeaderList& aHeaders, std::string_view aBody);

} // namespace fennelline
