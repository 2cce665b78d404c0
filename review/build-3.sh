#!/usr/bin/env bash
# Builds every stand-in that the scripts of cases 11 to 15 start. They are Python programs of this folder and of
# soak/, so there is nothing to compile: this checks that each of them can be read.
set -euo pipefail
cd "$(dirname "$0")/.."
for it in soak/outside.py soak/wire.py review/lib_4.py review/1[1-5]/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$it"
done
