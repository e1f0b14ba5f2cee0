#include "decisions/version/document_encoding.h"

#include <algorithm>
#include <bit>
#include <memory>

#include <zstd.h>

namespace ebonyvale {
namespace {

constexpr int CompressionLevel = 3;
/// Smallest and largest logarithm of the window. The largest one covers a
/// document and its base.
constexpr int MinWindowLog = 16;
constexpr int MaxWindowLog = 23;

struct context_deleter {
  void operator()(ZSTD_CCtx *Context) const { ZSTD_freeCCtx(Context); }
  void operator()(ZSTD_DCtx *Context) const { ZSTD_freeDCtx(Context); }
};

/// Returns the logarithm of a window that covers \p Bytes.
int windowLog(std::size_t Bytes) {
  return std::clamp(static_cast<int>(std::bit_width(Bytes)), MinWindowLog,
                    MaxWindowLog);
}

} // namespace

std::optional<std::string> encodeDocument(std::string_view Value,
                                          std::string_view Base) {
  if (Value.size() > MaxDocumentBytes || Base.size() > MaxDocumentBytes)
    return std::nullopt;
  const std::unique_ptr<ZSTD_CCtx, context_deleter> Context(ZSTD_createCCtx());
  if (!Context)
    return std::nullopt;
  ZSTD_CCtx *const Raw = Context.get();
  ZSTD_CCtx_setParameter(Raw, ZSTD_c_compressionLevel, CompressionLevel);
  ZSTD_CCtx_setParameter(Raw, ZSTD_c_windowLog,
                         windowLog(Value.size() + Base.size()));
  // Shows the reader that its base is the same.
  ZSTD_CCtx_setParameter(Raw, ZSTD_c_checksumFlag, 1);
  if (!Base.empty()) {
    ZSTD_CCtx_setParameter(Raw, ZSTD_c_enableLongDistanceMatching, 1);
    ZSTD_CCtx_refPrefix(Raw, Base.data(), Base.size());
  }
  std::string Encoded(ZSTD_compressBound(Value.size()), '\0');
  const std::size_t Size = ZSTD_compress2(Raw, Encoded.data(), Encoded.size(),
                                          Value.data(), Value.size());
  if (ZSTD_isError(Size) != 0)
    return std::nullopt;
  Encoded.resize(Size);
  Encoded.shrink_to_fit();
  return Encoded;
}

std::optional<std::string> decodeDocument(std::string_view Encoded,
                                          std::string_view Base) {
  const unsigned long long Size =
      ZSTD_getFrameContentSize(Encoded.data(), Encoded.size());
  if (Size == ZSTD_CONTENTSIZE_ERROR || Size == ZSTD_CONTENTSIZE_UNKNOWN ||
      Size > MaxDocumentBytes)
    return std::nullopt;
  const std::unique_ptr<ZSTD_DCtx, context_deleter> Context(ZSTD_createDCtx());
  if (!Context)
    return std::nullopt;
  if (!Base.empty())
    ZSTD_DCtx_refPrefix(Context.get(), Base.data(), Base.size());
  std::string Value(static_cast<std::size_t>(Size), '\0');
  const std::size_t Decoded =
      ZSTD_decompressDCtx(Context.get(), Value.data(), Value.size(),
                          Encoded.data(), Encoded.size());
  if (ZSTD_isError(Decoded) != 0 || Decoded != Value.size())
    return std::nullopt;
  return Value;
}

} // namespace ebonyvale
