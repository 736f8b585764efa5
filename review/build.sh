#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They are plain modules without dependencies, so that this only checks that they
# can be read, and that the build of the deploy file is in place.
set -eu
cd "$(dirname "$0")/.."
for module in review/standins/*.mjs review/[0-9]*/*.mjs; do node --check "$module"; done
[ -f target/bendfall.mjs ] || { echo 'target/bendfall.mjs is missing: run the build of deploy/system.toml first' >&2; exit 1; }
