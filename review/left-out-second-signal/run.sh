#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd)
export TROUBLE="${TROUBLE:-1}" RECORD="$folder/record.txt" PYTHONDONTWRITEBYTECODE=1
exec python3 "$folder/run.py"
