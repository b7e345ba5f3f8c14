#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
node "$(dirname "$0")/case.mjs" &
pid=$!
trap 'kill "$pid"' INT TERM
wait "$pid"
case $? in
  10) exit 0 ;;
  11) exit 1 ;;
  *) exit 2 ;;
esac
