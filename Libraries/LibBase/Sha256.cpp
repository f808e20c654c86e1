#include "LibBase/Sha256.h"

#include <array>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>

namespace fennelline {

namespace {

using Digest = std::array<unsigned char, SHA256_DIGEST_LENGTH>;

std::string ToHex(const Digest& aDigest) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  for (const unsigned char byte : aDigest) {
    text += kDigits[byte >> 4U];
    text += kDigits[byte & 0x0fU];
  }
  return text;
}

const unsigned char* Bytes(std::string_view aText) {
  return reinterpret_cast<const unsigned char*>(aText.data());
}

} // namespace

std::string Sha256Hex(std::string_view aBytes) {
  Digest digest;
  SHA256(Bytes(aBytes), aBytes.size(), digest.data());
  return ToHex(digest);
}

std::string HmacSha256Hex(std::string_view aKey, std::string_view aBytes) {
  Digest digest;
  unsigned int length = 0;
  HMAC(EVP_sha256(), aKey.data(), static_cast<int>(aKey.size()), Bytes(aBytes), aBytes.size(),
       digest.data(), &length);
  return ToHex(digest);
}

bool EqualInConstantTime(std::string_view aLeft, std::string_view aRight) {
  return aLeft.size() == aRight.size() &&
         CRYPTO_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

} // namespace fennelline
