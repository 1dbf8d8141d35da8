#!/usr/bin/env bash
# Installs what the build, the tests and the lint need; does nothing when all is there.
set -eu
packages="gcc make pkg-config libevent-dev libtirpc-dev libglib2.0-dev libjansson-dev libcunit1-dev libxxhash-dev clang-format clang-tidy cppcheck curl"
missing=""
for p in $packages; do
  dpkg-query -W -f='${Status}' "$p" 2>/dev/null | grep -q 'install ok installed' || missing="$missing $p"
done
[ -n "$missing" ] || exit 0
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
# shellcheck disable=SC2086
apt-get install -y -qq $missing >/dev/null
