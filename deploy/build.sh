#!/bin/sh
# Puts the libraries and the packages of the project under target/deps.
set -eu
deps=target/deps
if ! cmp -s deploy/requirements.txt target/requirements.txt; then
    rm -rf "$deps"
    python3 -m pip install --quiet --no-compile --target "$deps" \
        --requirement deploy/requirements.txt
    python3 -m compileall -q "$deps" || true
    cp deploy/requirements.txt target/requirements.txt
fi
rm -rf "$deps"/cowslipgate_*
for source in packages/cowslipgate-core packages/cowslipgate-transport \
    packages/cowslipgate-entry packages/cowslipgate-agent platform; do
    cp -R "$source"/src/cowslipgate_* "$deps"/
done
rm -rf "$deps"/cowslipgate_*/tests
python3 -m compileall -q "$deps"/cowslipgate_*
for role in entry agent; do
    PYTHONPATH=$deps python3 -S -P -m cowslipgate_platform image "$role"
done
