#include "Utilities/Ctl/AdminClient.h"

#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>

namespace fennelline {

namespace {

constexpr int kOk = 200;
constexpr int kUnauthorized = 401;

std::string ReadAll(std::istream& aStream) {
  return {std::istreambuf_iterator<char>(aStream), std::istreambuf_iterator<char>()};
}

} // namespace

AdminClient::AdminClient(HttpTransport& aTransport, std::string aSecret)
  : m_transport(aTransport)
  , m_secret(std::move(aSecret)) {}

Result<std::string> AdminClient::Get(const std::string& aAddress, const std::string& aTarget) {
  const HttpRequest request{.m_method = "GET",
                            .m_target = aTarget,
                            .m_headers = {{"Authorization", "Bearer " + m_secret}},
                            .m_body = {}};
  HttpReply reply = m_transport.Call(aAddress, request, HttpLimits{});
  if (reply.m_failure != HttpFailure::None) {
    return MakeError(ErrorCode::Unavailable, "--admin: " + aAddress +
                                               " is not reachable; give the admin address of a "
                                               "running entry");
  }
  if (reply.m_status == kUnauthorized) {
    return MakeError(ErrorCode::Unauthorized, "--secret_file: " + aAddress +
                                                " rejected the secret; use one of the entry's "
                                                "shared_secrets");
  }
  if (reply.m_status != kOk) {
    return MakeError(ErrorCode::Unavailable,
                     aAddress + aTarget + " returned status " + std::to_string(reply.m_status));
  }
  return std::move(reply.m_body);
}

Result<std::string> ReadInput(const std::string& aPath) {
  if (aPath == "-") {
    return ReadAll(std::cin);
  }
  std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    return MakeError(ErrorCode::InvalidField, "cannot read the file \"" + aPath + "\"");
  }
  return ReadAll(file);
}

Result<std::string> ReadSecret(const std::string& aPath) {
  if (aPath.empty()) {
    return MakeError(ErrorCode::MissingField,
                     "--secret_file: give a file whose first line is a shared secret");
  }
  const std::string text = TRY(ReadInput(aPath));
  const std::string secret = text.substr(0, text.find_first_of("\r\n"));
  if (secret.empty()) {
    return MakeError(ErrorCode::InvalidField, "--secret_file: the first line is empty");
  }
  return secret;
}

std::vector<std::string> SplitList(const std::string& aText) {
  std::vector<std::string> parts;
  std::istringstream stream(aText);
  std::string part;
  while (std::getline(stream, part, ',')) {
    if (!part.empty()) {
      parts.push_back(part);
    }
  }
  return parts;
}

} // namespace fennelline
