#!/bin/sh
# The stand-ins are plain modules of Node.js without dependencies: there is nothing to compile, and
# this only checks that they can be read. The program itself is built by the deploy file.
set -e
cd "$(dirname "$0")"
for file in stand-ins-2/*.mjs 6/*.mjs 7/*.mjs 8/*.mjs 9/*.mjs 10/*.mjs; do
  if [ -e "$file" ]; then
    node --check "$file"
  fi
done
