#!/bin/bash
# Builds the project's stand-ins that the scripts of review 3 start.
set -euo pipefail
cd "$(dirname "$0")/.."
npx --no-install tsc -b
