#include "decisions/version/key_hash.h"

#include <boost/algorithm/hex.hpp>
#include <openssl/crypto.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>

#include <algorithm>
#include <iterator>

namespace ebonyvale {
namespace {

const unsigned char *asBytes(std::string_view Text) {
  return reinterpret_cast<const unsigned char *>(Text.data());
}

bool isLowerHex(char C) {
  return (C >= '0' && C <= '9') || (C >= 'a' && C <= 'f');
}

} // namespace

digest hashKey(std::string_view Secret, std::string_view Key) {
  digest Out{};
  unsigned int Length = 0;
  HMAC(EVP_sha256(), Secret.data(), static_cast<int>(Secret.size()),
       asBytes(Key), Key.size(), Out.data(), &Length);
  return Out;
}

digest hashText(std::string_view Text) {
  digest Out{};
  SHA256(asBytes(Text), Text.size(), Out.data());
  return Out;
}

bool sameDigest(const digest &Left, const digest &Right) {
  return CRYPTO_memcmp(Left.data(), Right.data(), DigestBytes) == 0;
}

std::string toHex(const digest &Value) {
  std::string Out;
  Out.reserve(2 * DigestBytes);
  boost::algorithm::hex_lower(Value, std::back_inserter(Out));
  return Out;
}

std::optional<digest> digestFromHex(std::string_view Hex) {
  if (Hex.size() != 2 * DigestBytes || !std::ranges::all_of(Hex, isLowerHex))
    return std::nullopt;
  digest Out{};
  boost::algorithm::unhex(Hex, Out.begin());
  return Out;
}

} // namespace ebonyvale
