#!/bin/sh
# Builds the stand-ins of the scripted cases. Needs g++ and nlohmann-json3-dev, which the deploy file names.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
g++ -std=c++20 -O1 -Wall -Wextra -pthread -o target/review-3/standin review/standin-3/main.cpp
