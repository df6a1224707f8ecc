#!/bin/sh
# Lays what the bench wants beside the site files here, from a folder that has it: sh deploy/sites/lay.sh FOLDER
# (a folder with real.json, wire.json and unlock.txt). What is laid is not kept in the repository.
set -e
from=${1:?usage: lay.sh FOLDER}
to=$(dirname "$0")
for file in real.json wire.json unlock.txt; do
    cp "$from/$file" "$to/$file"
    chmod u+w "$to/$file"
done
