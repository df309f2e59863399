#!/bin/sh
# Builds the programs of the review's scripts into target/review-2. To be run after the build of the deploy file; needs its packages only.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags="-std=c++20 -O1 -I libraries -I tests/platform -I tests/standins"
for source in tests/platform/support/keyvalueserver.cpp tests/standins/support/httpserver.cpp tests/standins/support/sockets.cpp \
    review/standins-2/platform/support/*.cpp; do
    g++ $flags -c "$source" -o "$out/$(basename "$source" .cpp).o" &
done
wait
for source in review/6/*.cpp review/7/*.cpp review/8/*.cpp review/9/*.cpp review/10/*.cpp; do
    [ -f "$source" ] || continue
    g++ $flags "$source" "$out"/*.o -o "$out/$(basename "$source" .cpp)" -lfmt -labsl_strings -labsl_time -labsl_base -lpthread &
done
wait
for source in review/6/*.cpp review/7/*.cpp review/8/*.cpp review/9/*.cpp review/10/*.cpp; do
    [ -f "$source" ] || continue
    [ -x "$out/$(basename "$source" .cpp)" ] || exit 1
done
