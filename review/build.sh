#!/usr/bin/env bash
# Builds the stand-ins of the scripts. The program itself is built by the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-stand ./review/stand
