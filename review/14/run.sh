#!/usr/bin/env bash
# Runs the case and writes record.txt beside this file; TROUBLE=0 leaves the disruption out.
# Exit 1: the rule was broken, 0: it held, 2: the case could not run.
cd "$(dirname "$0")" && exec python3 case.py
