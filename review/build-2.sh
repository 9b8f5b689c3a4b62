#!/bin/sh
# Builds the stand-ins that the scripts in review/6 to review/10 start. They are plain Python and
# need no library beside the standard one; the project's processes come from the deploy file's build.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review/lib2 review/6 review/7 review/8 review/9 review/10
