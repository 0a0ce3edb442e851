#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
g++ -std=c++20 -O1 -Wall -Wextra -pthread -o target/review-large-answer \
  review/stand_ins_2/{large_answer,gateway,instances,network,store}.cc
