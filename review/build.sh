#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/build. The programs of the project come from the build of
# the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
for source in standins/*.cc; do
  g++ -std=c++20 -O2 -Wall -Wextra -pthread "$source" -o "build/$(basename "$source" .cc)"
done
