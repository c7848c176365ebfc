#!/bin/bash
# Builds the stand-ins of review/standins-2 into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standins-2/*.cc; do
  name="$(basename "$source" .cc)"
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "target/review-2/$name"
done
