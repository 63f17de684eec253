#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. Built by review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
target/review-2/late_beat review/8/record.txt
code=$?
case $code in
0 | 1) exit $code ;;
*) exit 2 ;;
esac
