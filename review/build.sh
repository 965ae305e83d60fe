#!/bin/sh
# Builds the stand-ins of the review cases into review/bin. Needs the compiler that the project's build needs.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
for name in database rows order leaders; do
  ${CXX:-c++} -std=c++20 -O1 -Wall -Wextra -pthread -o "review/bin/$name" "review/standin/$name.cc"
done
