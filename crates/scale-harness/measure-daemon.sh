#!/usr/bin/env bash
# Measures one daemon at all points of docs/CAPACITY.md, each twice, and prints a line of JSON for each. Takes about
# a quarter of an hour. Usage: crates/scale-harness/measure-daemon.sh DAEMON-FIGURES DAEMON > daemon.jsonl
set -euo pipefail
figures=$1
daemon=$2
[ -x "$figures" ] && [ -x "$daemon" ] || { echo "usage: $0 DAEMON-FIGURES DAEMON" >&2; exit 2; }

# Measures one point twice. A point that fails is reported and does not end the run.
point() {
    for _ in 1 2; do
        "$figures" --program "$daemon" "$@" || echo "failed: $*" >&2
    done
}

for upstreams in 64 1000 10000 20000 28000 29000 30000 39000; do
    point --upstreams "$upstreams" --classes 3 --unbound
done
for upstreams in 64 1000 2000; do
    point --upstreams "$upstreams" --classes 1300 --unbound
    point --upstreams "$upstreams" --classes 1300
done
for classes in 300 650; do
    point --upstreams 64 --classes "$classes"
done
for tenants in 33000 330000; do
    point --upstreams 64 --classes 3 --unbound --tenants "$tenants"
done
point --upstreams 20000 --classes 3 --unbound --subset --balancers 300

# The time that the daemon adds to a request, at the mean rate and at four times that.
for tenants in 0 330000; do
    point --upstreams 900 --classes 30 --tenants "$tenants" --settle-s 2 --idle-s 2 \
        --load-rate 221 --load-rate 884 --load-s 12
done
