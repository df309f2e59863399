#!/usr/bin/env bash
# Builds the stand-ins and drivers of the review's scripts in target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
compile() {
    g++ -std=c++20 -O2 -Wall -Wextra -pthread "$@"
}
compile -c review/standins/deployment.cpp -o target/review/deployment.o
compile -c review/standins/memorycase.cpp -o target/review/memorycase.o
for source in review/[1-5]/*.cpp; do
    compile target/review/deployment.o target/review/memorycase.o "$source" -o "target/review/$(basename "$source" .cpp)"
done
