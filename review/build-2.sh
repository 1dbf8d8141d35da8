#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 below target/, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
make -s -j8 OUT=target target/standin-platform
mkdir -p target/review-2
for program in engine client put late; do
  gcc -std=gnu11 -O2 -g -Wall -Wextra -Wformat=2 -o "target/review-2/$program" \
    "review/tool-2/$program.c" review/tool-2/net.c -lpthread
done
