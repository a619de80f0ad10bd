#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. Needs no network: the package has no dependency.
set -euo pipefail
cd "$(dirname "$0")/standins"
cargo build --release --locked --offline
