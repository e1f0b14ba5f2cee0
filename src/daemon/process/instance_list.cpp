#include "daemon/process/instance_list.h"

#include "daemon/process/logging.h"

#include <nlohmann/json.hpp>

namespace ebonyvale {
namespace {

using nlohmann::json;

constexpr span_ns PollInterval = std::chrono::seconds(1);
constexpr int StatusOk = 200;

failure invalid(const char *Reason) {
  return {error_kind::PeerMessageInvalid, Reason};
}

std::string label(const json &Group, const char *Name) {
  const auto Labels = Group.find("labels");
  if (Labels == Group.end() || !Labels->is_object())
    return "";
  const auto Value = Labels->find(Name);
  return Value != Labels->end() && Value->is_string()
             ? Value->get<std::string>()
             : "";
}

} // namespace

result<std::vector<member>> parseInstanceList(std::string_view Text) {
  const json Groups = json::parse(Text, nullptr, false);
  if (!Groups.is_array())
    return invalid("the instance list is not an array");
  std::vector<member> Members;
  for (const json &Group : Groups) {
    const auto Targets =
        Group.is_object() ? Group.find("targets") : Group.end();
    if (!Group.is_object() || Targets == Group.end() || !Targets->is_array())
      return invalid("a group has no target array");
    for (const json &Target : *Targets) {
      member Entry;
      Entry.Name = label(Group, "instance");
      Entry.Domain = label(Group, "domain");
      Entry.Region = label(Group, "region");
      Entry.Leaving = label(Group, "state") == "leaving";
      const auto Endpoint = Target.is_string()
                                ? parseEndpoint(Target.get<std::string>())
                                : std::nullopt;
      if (!Endpoint || Entry.Name.empty())
        return invalid("a target has no valid address or no instance name");
      Entry.Address = Endpoint->Address;
      Entry.Port = Endpoint->Port;
      Members.push_back(std::move(Entry));
    }
  }
  return Members;
}

instance_list::instance_list(evhttp_connection_pool &Pool, endpoint Server,
                             list_callback OnList)
    : Pool(Pool), Server(std::move(Server)), OnList(std::move(OnList)),
      PollTimer(Pool.base(), [this] { poll(); }) {}

instance_list::~instance_list() {
  if (Exchange)
    Exchange->cancel();
}

void instance_list::start() { poll(); }

void instance_list::poll() {
  Body.clear();
  Status = 0;
  outgoing_request Request;
  Request.Server = Server;
  Request.Method = "GET";
  Request.Target = "/instances";
  Request.ReadTimeout = PollInterval;
  Exchange = upstream_exchange::start(Pool, Request, *this);
}

void instance_list::onHead(const response_head &Head) {
  Status = Head.status();
}

void instance_list::onBody(std::string_view Bytes) { Body += Bytes; }

void instance_list::onComplete() {
  Exchange.reset();
  PollTimer.startOnce(PollInterval);
  if (Status != StatusOk)
    return;
  auto Members = parseInstanceList(Body);
  if (!Members) {
    logFor(log_category::Peer)
        .warn("ignored an invalid instance list: {}", Members.error().Detail);
    return;
  }
  if (*Members == LastMembers)
    return;
  LastMembers = std::move(*Members);
  OnList(LastMembers);
}

void instance_list::onLost(exchange_stage) {
  Exchange.reset();
  PollTimer.startOnce(PollInterval);
}

} // namespace ebonyvale
