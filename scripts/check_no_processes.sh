#!/usr/bin/env bash
# Fails when the product starts a process, or uses io_uring or shared memory. Only
# the soak in tests/ starts processes: the gateways that it tests.
set -euo pipefail
cd "$(dirname "$0")/.."
calls='\b(fork|vfork|popen|system|posix_spawnp?|execv[pe]*|execl[pe]*|shm_open|shmget|io_uring_[a-z_]+)\s*\('
found=$(git grep -nE "$calls" -- src platform || true)
if [ -n "$found" ]; then
  echo "the product starts a process or shares memory:" >&2
  echo "$found" >&2
  exit 1
fi
