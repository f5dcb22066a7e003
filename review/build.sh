#!/bin/sh
# Builds the stand-in that the scripts of the cases start, as one translation unit.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for it in review/standin/main.cpp review/*/case.cpp review/more/*.cpp; do
    echo "#include \"$it\""
done > target/review/all.cpp
g++ -std=c++20 -O1 -I. -o target/review/standin target/review/all.cpp -pthread
