#!/bin/sh
# The stand-ins are plain modules for Node.js without dependencies; this checks that they load.
cd "$(dirname "$0")" || exit 1
for file in stand-ins/*.mjs [1-5]/*.mjs; do
  node --check "$file" || exit 1
done
