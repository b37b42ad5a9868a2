#!/bin/sh
# Builds the stand-in that the scripts of cases 11 to 15 start, into the folder of the deploy file's build.
cd "$(dirname "$0")/.." || exit 2
cmake -S . -B target -DCMAKE_BUILD_TYPE=RelWithDebInfo -DTW_TESTS=OFF && cmake --build target -j4 --target turmericwell-standin
