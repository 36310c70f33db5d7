#!/bin/sh
# Builds the stand-ins of the scripts of the second review: one program.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review2/stand2 ./review/stand2/platform
