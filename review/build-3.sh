#!/usr/bin/env bash
# Builds the programs of the third review's cases in target/review-3, with the project's own stand-ins. To be called after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
OUT=target/review-3
mkdir -p "$OUT"
FLAGS=(-std=c++20 -O1 -pthread -Ilibraries -Itests/standins -Itests/platform -Itests/integration -Ireview/standins-3 -DPROGRAM_FOLDER="\"$PWD/target/bin\"")
SHARED=(review/standins-3/stage.cpp review/standins-3/crashingserver.cpp tests/standins/support/httpserver.cpp tests/standins/support/sockets.cpp tests/platform/support/keyvalueserver.cpp
    tests/integration/support/process.cpp)
OBJECTS=()
for SOURCE in "${SHARED[@]}"; do
    OBJECT=$OUT/$(basename "$SOURCE" .cpp).o
    g++ "${FLAGS[@]}" -c "$SOURCE" -o "$OBJECT" &
    OBJECTS+=("$OBJECT")
done
wait
for SOURCE in review/1[1-5]/*.cpp; do
    [ -e "$SOURCE" ] || continue
    g++ "${FLAGS[@]}" "$SOURCE" "${OBJECTS[@]}" -o "$OUT/case-$(basename "$(dirname "$SOURCE")")" \
        $(pkg-config --libs absl_strings absl_time fmt)
done
