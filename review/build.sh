#!/bin/sh
# Builds the stand-ins of the scripts, after the build of deploy/system.toml. The program uses the standard library only.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-scene ./review/testdata/scene
