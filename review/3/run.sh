#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/jackdawturn ] && [ -x review/build/case_runner ] || exit 2
exec review/build/case_runner session-value review/3
