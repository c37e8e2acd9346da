#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2, with what the build of the deploy file needs.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in review/standins-2/*_case.cc; do
  g++ -std=c++17 -O1 -Wall -Wextra -pthread "$case" review/standins-2/platform_standin.cc \
    -o "target/review-2/$(basename "$case" .cc)"
done
