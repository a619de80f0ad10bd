#!/bin/sh
# Builds the stand-ins of the second review, which its cases start beside the program of the deploy file. Needs no network.
set -eu
cd "$(dirname "$0")/standins-2"
exec cargo build --release --locked --offline
