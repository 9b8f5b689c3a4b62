#!/bin/sh
# Builds the stand-ins of the review's scripts. They are plain Python and need nothing but a check
# that they compile; the project's own programs come from the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q review/lib
