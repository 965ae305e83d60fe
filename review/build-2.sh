#!/bin/sh
# Builds the stand-ins of review/6 and later ones into build/review-2. They need a C++20 compiler and nothing else.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for source in review/standin-2/*.cc; do
  ${CXX:-g++} -std=c++20 -O1 -pthread -Wall -Wextra -o "build/review-2/$(basename "$source" .cc)" "$source"
done
