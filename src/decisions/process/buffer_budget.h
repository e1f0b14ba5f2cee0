/// \file
/// Limit on the bytes that the process buffers for all requests together.
#ifndef EBONYVALE_DECISIONS_PROCESS_BUFFER_BUDGET_H
#define EBONYVALE_DECISIONS_PROCESS_BUFFER_BUDGET_H

#include <cstddef>
#include <memory>

namespace ebonyvale {

class buffer_lease;

/// Divides a number of bytes among buffers with dynamic thresholds: a buffer
/// may grow up to the size of what it leaves free. A single one gets half of
/// all bytes, and many that grow at the same time stop while some are still
/// free for small ones.
class buffer_budget {
public:
  explicit buffer_budget(std::size_t CapacityBytes);

  /// Returns an empty lease, which may outlive the budget.
  buffer_lease lease();

  /// Returns the bytes of all leases together.
  std::size_t used() const { return Account->Used; }
  std::size_t capacity() const { return Account->Capacity; }

private:
  friend class buffer_lease;
  struct account {
    std::size_t Capacity = 0;
    std::size_t Used = 0;
  };

  std::shared_ptr<account> Account;
};

/// The bytes of the budget that one buffer holds. Returns them at its end.
class buffer_lease {
public:
  ~buffer_lease();
  buffer_lease(buffer_lease &&Other) noexcept;
  buffer_lease(const buffer_lease &) = delete;
  buffer_lease &operator=(buffer_lease &&) = delete;
  buffer_lease &operator=(const buffer_lease &) = delete;

  /// Changes the number of bytes to \p Bytes. Returns false, and changes
  /// nothing, if the budget does not allow it; a smaller number is always
  /// allowed.
  bool resize(std::size_t Bytes);

  /// Changes the number of bytes to \p Bytes, which are held already. Returns
  /// whether the budget allows it.
  bool record(std::size_t Bytes);

  std::size_t size() const { return Held; }

private:
  friend class buffer_budget;
  explicit buffer_lease(std::shared_ptr<buffer_budget::account> Account);
  bool allows(std::size_t Bytes) const;

  std::shared_ptr<buffer_budget::account> Account;
  std::size_t Held = 0;
};

} // namespace ebonyvale

#endif
