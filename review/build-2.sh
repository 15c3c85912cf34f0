#!/usr/bin/env bash
# Builds what the scripts of the second review start, into target/review-2, for
# the build of the deploy file in target/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for check in review/[4-8]/check.cpp; do
  number=$(basename "$(dirname "$check")")
  ${CXX:-g++} -std=c++20 -O2 -pthread -o "target/review-2/check-$number" \
    "$check" review/stand-ins-2/fleet.cpp
done
