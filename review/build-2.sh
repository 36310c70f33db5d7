#!/bin/sh
# Builds the stand-ins of the scripts of the second review: one program without dependencies beyond the Go library.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review2/ ./review/stand2
