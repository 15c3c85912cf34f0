#!/usr/bin/env bash
# Builds what the scripts of the cases start beside the project's own programs.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++20 -O2 -Wall -Wextra -pthread review/world/world.cpp -o target/review/review_world
