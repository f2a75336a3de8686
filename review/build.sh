#!/bin/sh
# Builds the stand-ins and the checks of all cases; needs the JDK alone.
set -eu
cd "$(dirname "$0")"
rm -rf build
mkdir build
find rig [0-9]* -name '*.java' > build/sources
javac -nowarn -d build @build/sources
