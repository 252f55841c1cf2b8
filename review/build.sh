#!/bin/bash
# The stand-ins of the scripts are plain programs for Node.js without dependencies: there is nothing to compile. This checks that they can be read.
cd "$(dirname "$0")/.." || exit 1
for program in review/stand-ins review/[0-9]/play; do
	[ -f "$program" ] || continue
	node --input-type=module --check < "$program" || exit 1
done
