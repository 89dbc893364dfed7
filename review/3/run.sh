#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
timeout -k 5 110 python3 case.py
code=$?
case $code in 0 | 1) exit $code ;; esac
exit 2
