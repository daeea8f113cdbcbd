#!/bin/sh
# Builds what the scripts of review/11 to review/15 start. The program under test is built by the
# command of deploy/system.toml. The stand-ins are review/standin-3/standin.py, which needs python3
# only and no build; this checks that it can be compiled.
cd "$(dirname "$0")" || exit 2
exec python3 -c "import ast, sys; ast.parse(open('standin-3/standin.py').read())"
