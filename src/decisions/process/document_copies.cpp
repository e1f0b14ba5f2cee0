#include "decisions/process/document_copies.h"

#include "decisions/version/document_encoding.h"

#include <utility>

namespace ebonyvale {

void document_copies::put(std::string_view Key, std::int64_t Revision,
                          std::string Value) {
  document &Document = Documents[std::string(Key)];
  Document.Versions.insert_or_assign(Revision, std::move(Value));
  Document.Encoded.clear();
  std::size_t Bytes = 0;
  for (const auto &[Kept, Copy] : Document.Versions)
    Bytes += Copy.size();
  while (Document.Versions.size() > 1 &&
         (Document.Versions.size() > MaxVersions || Bytes > MaxBytes)) {
    Bytes -= Document.Versions.begin()->second.size();
    Document.Versions.erase(Document.Versions.begin());
  }
}

std::optional<encoded_document> document_copies::encodeFor(std::string_view Key,
                                                           std::int64_t Known) {
  const auto Found = Documents.find(Key);
  if (Found == Documents.end())
    return std::nullopt;
  document &Document = Found->second;
  const auto &[Revision, Value] = *Document.Versions.rbegin();
  if (Revision <= Known)
    return std::nullopt;
  const auto Base = Document.Versions.find(Known);
  const bool HasBase = Base != Document.Versions.end();
  const std::int64_t BaseRevision = HasBase ? Known : 0;
  auto &Encoded = Document.Encoded[BaseRevision];
  if (!Encoded) {
    auto Bytes = encodeDocument(Value, HasBase ? std::string_view(Base->second)
                                               : std::string_view());
    if (!Bytes) {
      Document.Encoded.erase(BaseRevision);
      return std::nullopt;
    }
    Encoded = std::make_shared<const std::string>(std::move(*Bytes));
  }
  return encoded_document{Revision, BaseRevision, Encoded};
}

std::optional<std::string>
document_copies::decode(std::string_view Key,
                        const encoded_document &Received) const {
  if (Received.Base == 0)
    return decodeDocument(*Received.Bytes, {});
  const auto Found = Documents.find(Key);
  if (Found == Documents.end())
    return std::nullopt;
  const auto Base = Found->second.Versions.find(Received.Base);
  if (Base == Found->second.Versions.end())
    return std::nullopt;
  return decodeDocument(*Received.Bytes, Base->second);
}

} // namespace ebonyvale
