#!/bin/sh
# Builds the stand-ins of the cases 11 to 15, after the build of the deploy
# file. They are Python, so this only compiles them, which finds errors early.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q platform/tests/__init__.py platform/tests/standins.py \
    platform/tests/servers.py platform/tests/documents.py libs/serving/masticquay_serving
python3 -m compileall -q review/common-3
for number in 11 12 13 14 15; do
    if [ -d "review/$number" ]; then
        python3 -m compileall -q "review/$number"
    fi
done
