#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. The program under review is built by the build line of
# deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/rig ./review/testdata/rig
