/// \file
/// A caller of a gateway on a socket that no event loop watches.
#ifndef EBONYVALE_TESTS_GATEWAY_DIRECT_CALLER_H
#define EBONYVALE_TESTS_GATEWAY_DIRECT_CALLER_H

#include "net/client_connection.h"

#include <criterion/criterion.h>

#include <string>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <spdlog/fmt/fmt.h>

namespace ebonyvale {

/// A connection of a caller whose bytes reach the gateway's system at once.
class direct_caller {
public:
  explicit direct_caller(const endpoint &Server)
      : Socket(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(Server.Port);
    inet_pton(AF_INET, Server.Address.c_str(), &Address.sin_addr);
    cr_assert(connect(Socket, reinterpret_cast<sockaddr *>(&Address),
                      sizeof(Address)) == 0);
  }
  ~direct_caller() { close(Socket); }
  direct_caller(const direct_caller &) = delete;
  direct_caller &operator=(const direct_caller &) = delete;

  void send(const client_request &Request) const {
    std::string Text =
        fmt::format("{} {} HTTP/1.1\r\n", Request.Method, Request.Target);
    for (const http_header &Field : Request.Headers.all())
      Text += fmt::format("{}: {}\r\n", Field.Name, Field.Value);
    Text += fmt::format("Content-Length: {}\r\n\r\n{}", Request.Body.size(),
                        Request.Body);
    cr_assert(::send(Socket, Text.data(), Text.size(), 0) ==
              static_cast<ssize_t>(Text.size()));
  }
  /// Returns what has arrived.
  std::string receive() {
    char Bytes[4096];
    for (ssize_t Length = 0;
         (Length = recv(Socket, Bytes, sizeof(Bytes), MSG_DONTWAIT)) > 0;)
      Received.append(Bytes, static_cast<std::size_t>(Length));
    return Received;
  }

private:
  int Socket;
  std::string Received;
};

} // namespace ebonyvale

#endif
