/// \file
/// The body of a response that is buffered until it is complete.
#ifndef EBONYVALE_GATEWAY_REQUEST_RESPONSE_BUFFER_H
#define EBONYVALE_GATEWAY_REQUEST_RESPONSE_BUFFER_H

#include "decisions/process/buffer_budget.h"
#include "net/server_connection.h"

#include <memory>
#include <string_view>

#include <event2/buffer.h>

namespace ebonyvale {

/// Buffers a body, whose bytes count in a budget until they have been sent to
/// the caller. Kept in blocks, so that growth copies nothing.
class response_buffer {
public:
  explicit response_buffer(buffer_budget &Budget) : Budget(Budget) { clear(); }

  std::size_t size() const { return evbuffer_get_length(Bytes.get()); }

  /// Appends \p Text. Returns false, and appends nothing, if the budget does
  /// not allow it.
  bool append(std::string_view Text) {
    return Lease->resize(size() + Text.size()) &&
           evbuffer_add(Bytes.get(), Text.data(), Text.size()) == 0;
  }

  void clear() {
    Bytes.reset(evbuffer_new());
    Lease = std::make_shared<buffer_lease>(Budget.lease());
  }

  /// Sends the body as that of a complete response to \p Caller.
  void sendTo(server_connection &Caller, int Status,
              const header_list &Headers) {
    Caller.writeResponse(Status, Headers, *Bytes, std::move(Lease));
    clear();
  }
  /// Sends the body as that of a response that ends with its connection.
  void sendUnframed(server_connection &Caller, int Status,
                    const header_list &Headers) {
    Caller.beginStream(Status, Headers, stream_framing::CloseOrReset);
    Caller.endStream(*Bytes, std::move(Lease));
    clear();
  }

private:
  buffer_budget &Budget;
  evbuffer_ptr Bytes;
  std::shared_ptr<buffer_lease> Lease;
};

} // namespace ebonyvale

#endif
