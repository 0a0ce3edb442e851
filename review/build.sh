#!/bin/sh
# Builds the program that the scripts of the cases start, into review/build.
set -eu
cd "$(dirname "$0")"
mkdir -p build
g++ -std=c++20 -O1 -g -Wall -Wextra -pthread -o build/case_runner \
  case_main.cc case_world.cc case_store.cc case_group.cc case_client.cc
