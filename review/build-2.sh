#!/bin/sh
# Builds the stand-ins of the review's scripts in review/standin-2; needs g++ and nlohmann-json, as the deploy file does.
set -e
cd "$(dirname "$0")/standin-2"
mkdir -p ../../target
g++ -std=c++20 -O1 -Wall -Wextra -pthread main.cpp -o ../../target/review-standin-2.new
mv ../../target/review-standin-2.new ../../target/review-standin-2
