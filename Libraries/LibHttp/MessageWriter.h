#pragma once

#include "LibHttp/HeaderList.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace fennelline {

/// The status and headers of a response, without Content-Length and Transfer-Encoding.
struct ResponseHead {
  int m_status = 200;
  HeaderList m_headers;
};

/// Returns a status line such as "HTTP/1.1 200 OK", including CRLF.
std::string StatusLine(int aStatus);
/// Appends "NAME: VALUE" and CRLF.
void AppendHeader(std::string& aText, std::string_view aName, std::string_view aValue);
/// Appends one chunk of a chunked body. Empty input is ignored, since an empty chunk would end the
/// body.
void AppendChunk(std::string& aText, std::string_view aPart);
/// The terminator of a chunked body.
constexpr std::string_view kLastChunk = "0\r\n\r\n";

/// Serializes a request and adds Content-Length where the request has a body.
std::string WriteRequest(std::string_view aMethod, std::string_view aTarget,
                         const HeaderList& aHeaders, std::string_view aBody);

} // namespace fennelline
