/// \file
/// A return type that holds a value or an error; used in place of exceptions.
#ifndef EBONYVALE_COMMON_RESULT_H
#define EBONYVALE_COMMON_RESULT_H

#include "common/error_kind.h"

#include <string>
#include <utility>
#include <variant>

namespace ebonyvale {

/// An error: an `error_kind` and a detail message for users and operators.
struct failure {
  std::error_code Code;
  std::string Detail;

  /// Returns `Code` as an error kind.
  error_kind kind() const { return static_cast<error_kind>(Code.value()); }
};

/// Holds either a `T` or a `failure`.
template <typename T> class result {
public:
  // Implicit, so that functions can return a value or a failure directly.
  result(T Value) : Content(std::move(Value)) {}
  result(failure Reason) : Content(std::move(Reason)) {}

  explicit operator bool() const { return std::holds_alternative<T>(Content); }
  T &operator*() { return *std::get_if<T>(&Content); }
  const T &operator*() const { return *std::get_if<T>(&Content); }
  T *operator->() { return std::get_if<T>(&Content); }
  const T *operator->() const { return std::get_if<T>(&Content); }

  /// Returns the error. Must only be called if there is no value.
  const failure &error() const { return *std::get_if<failure>(&Content); }

private:
  std::variant<T, failure> Content;
};

} // namespace ebonyvale

#endif
