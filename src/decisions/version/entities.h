/// \file
/// What operators create by release notes, one record and one field table for
/// each sort of entity.
#ifndef EBONYVALE_DECISIONS_VERSION_ENTITIES_H
#define EBONYVALE_DECISIONS_VERSION_ENTITIES_H

#include "common/field_table.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace ebonyvale {

/// A customer of the operators, the unit of limits and fairness.
struct team {
  std::string Name;
  std::int64_t Rate = 0;   ///< tokens per second, fleet-wide
  std::int64_t Burst = 0;  ///< tokens, fleet-wide
  std::int64_t Weight = 1; ///< share of contended upstreams
};

/// A caller's key, known only by its keyed hash.
struct key_entry {
  std::string Id;
  std::string Team;
  std::string Hash; ///< lower-case hex of HMAC-SHA-256
  bool Withdrawn = false;
  bool Cut = false; ///< withdrawal also ended running streams
};

/// A path prefix served by plain upstreams.
struct route {
  std::string Name;
  std::string Prefix;
  std::vector<std::string> Methods;
  std::string Group; ///< group of the upstreams that serve it
  bool Open = false; ///< served without a key
  bool Repeatable = false;
  std::int64_t DeadlineMs = 30000;
  std::int64_t Tokens = 1; ///< charged to the team for each call
};

/// A language model and the weights version that answers for it.
struct model {
  std::string Name;
  std::string Version;
  std::int64_t PieceBytes = 2048;
  std::int64_t TokenBytes = 4;
  std::int64_t MaxTokens = 1024;
  std::int64_t PieceMs = 20;
  std::int64_t DeadlineMs = 120000;
};

/// A back end: an engine that serves models or a plain service in a group.
struct upstream {
  std::string Name;
  std::string Address;
  std::int64_t Port = 0;
  std::string Domain;
  std::string Kind = "engine";
  std::vector<std::string> Models;
  std::string Group;
  std::int64_t Concurrency = 16;
  bool ChecksFencing = false;
  bool Leaving = false;
};

/// A failure domain, its region and its part of every team's limits.
struct failure_domain {
  std::string Name;
  std::string Region;
  std::int64_t Weight = 1; ///< part of the limits, relative to the others
  std::int64_t Slots = 1;  ///< instances that share the domain's part
};

/// A note that has been accepted; kept so that the same note is not accepted
/// twice. Written by the router only.
struct applied_note {
  std::string Id;
  std::int64_t Version = 0;
  std::string Digest; ///< hex of the note's text
};

/// How a sort of entity appears in notes: `Section` names the tables, `Key`
/// the field that identifies an entity.
template <typename Entity> struct entity_traits;

/// Declares the traits of one entity.
#define EBONYVALE_ENTITY(Type, SectionName, KeyName, KeyMember)                \
  template <> struct entity_traits<Type> {                                     \
    static constexpr std::string_view Section = SectionName;                   \
    static constexpr std::string_view Key = KeyName;                           \
    static const std::string &key(const Type &Value) {                         \
      return Value.KeyMember;                                                  \
    }                                                                          \
    static std::span<const field<Type>> fields();                              \
  }

EBONYVALE_ENTITY(team, "team", "name", Name);
EBONYVALE_ENTITY(key_entry, "key", "id", Id);
EBONYVALE_ENTITY(route, "route", "name", Name);
EBONYVALE_ENTITY(model, "model", "name", Name);
EBONYVALE_ENTITY(upstream, "upstream", "name", Name);
EBONYVALE_ENTITY(failure_domain, "failure_domain", "name", Name);

EBONYVALE_ENTITY(applied_note, "applied_note", "id", Id);

#undef EBONYVALE_ENTITY

} // namespace ebonyvale

#endif
