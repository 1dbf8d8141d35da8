#!/usr/bin/env bash
# Builds what the cases start beside target/medlarplankd: the project's stand-in for the platform, and the review's own.
set -eu
cd "$(dirname "$0")/.."
make -s -j8 OUT=target target/standin-platform target/standin-upstream
mkdir -p review/build
for name in engine client warden; do
  gcc -std=gnu11 -O2 -Wall -Wextra -Werror "review/tool/$name.c" review/tool/net.c -o "review/build/$name" -lpthread
done
