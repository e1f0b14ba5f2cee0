/// \file
/// The entities that operators configure by release notes: a record and a field
/// table for each kind.
#ifndef EBONYVALE_DECISIONS_VERSION_ENTITIES_H
#define EBONYVALE_DECISIONS_VERSION_ENTITIES_H

#include "common/field_table.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace ebonyvale {

/// A team, the unit of limits and fairness.
struct team {
  std::string Name;
  std::int64_t Rate = 0;   ///< tokens per second, fleet-wide
  std::int64_t Burst = 0;  ///< tokens, fleet-wide
  std::int64_t Weight = 1; ///< relative share of contended upstreams
};

/// A caller's key, stored only as a keyed hash.
struct key_entry {
  std::string Id;
  std::string Team;
  std::string Hash; ///< HMAC-SHA-256 in lower-case hex
  bool Withdrawn = false;
  bool Cut = false; ///< withdrawal also ends running streams
};

/// A path prefix served by application upstreams.
struct route {
  std::string Name;
  std::string Prefix;
  std::vector<std::string> Methods;
  std::string Group;       ///< group of the upstreams that serve it
  bool Open = false;       ///< served without a key
  bool Repeatable = false; ///< a request may run more than once
  std::int64_t DeadlineMs = 30000;
  std::int64_t Tokens = 1; ///< charged to the team for each request
};

/// A language model, its weights version and its scheduling parameters.
struct model {
  std::string Name;
  std::string Version;
  std::int64_t PieceBytes = 2048;
  std::int64_t TokenBytes = 4;
  std::int64_t MaxTokens = 1024;
  std::int64_t PieceMs = 20;
  std::int64_t DeadlineMs = 120000;
};

/// An upstream: an engine that serves models, or a member of an application
/// group.
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

/// A failure domain, its region and its share of every team's limits.
struct failure_domain {
  std::string Name;
  std::string Region;
  std::int64_t Weight = 1; ///< share of the limits, relative to other domains
  std::int64_t Slots = 1;  ///< instances among which that share is divided
};

/// Record of an accepted note, kept so that the note is not accepted twice.
/// Written by the router only.
struct applied_note {
  std::string Id;
  std::int64_t Version = 0; ///< the version that the note created
  std::string Digest;       ///< SHA-256 of the note's text in hex
};

/// How a kind of entity appears in notes: `Section` is the name of its tables,
/// `Key` the field that identifies an entity.
template <typename Entity> struct entity_traits;

/// Declares the traits of a kind of entity.
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
