#!/bin/sh
# Builds the stand-ins and the check of each case into its folder; needs the JDK alone.
set -eu
cd "$(dirname "$0")"
for n in [0-9]; do
    rm -rf "$n/build"
    mkdir "$n/build"
    javac -nowarn -d "$n/build" ./*.java "$n"/*.java
done
