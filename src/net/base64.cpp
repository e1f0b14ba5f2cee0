#include "net/base64.h"

#include <openssl/evp.h>

#include <algorithm>

namespace ebonyvale {
namespace {

constexpr std::size_t BytesPerGroup = 3;
constexpr std::size_t CharsPerGroup = 4;

const unsigned char *asBytes(std::string_view Text) {
  return reinterpret_cast<const unsigned char *>(Text.data());
}

} // namespace

std::string toBase64(std::string_view Bytes) {
  const std::size_t Groups = (Bytes.size() + BytesPerGroup - 1) / BytesPerGroup;
  // EVP_EncodeBlock appends a terminating zero.
  std::string Out(Groups * CharsPerGroup + 1, '\0');
  EVP_EncodeBlock(reinterpret_cast<unsigned char *>(Out.data()), asBytes(Bytes),
                  static_cast<int>(Bytes.size()));
  Out.pop_back();
  return Out;
}

std::optional<std::string> fromBase64(std::string_view Text) {
  if (Text.empty())
    return std::string();
  if (Text.size() % CharsPerGroup != 0)
    return std::nullopt;
  std::string Out(Text.size() / CharsPerGroup * BytesPerGroup, '\0');
  const int Length =
      EVP_DecodeBlock(reinterpret_cast<unsigned char *>(Out.data()),
                      asBytes(Text), static_cast<int>(Text.size()));
  if (Length < 0)
    return std::nullopt;
  // EVP_DecodeBlock decodes padding to zero bytes and counts them.
  const auto Padding = static_cast<std::size_t>(
      std::ranges::count(Text.substr(Text.size() - 2), '='));
  Out.resize(static_cast<std::size_t>(Length) - Padding);
  return Out;
}

} // namespace ebonyvale
