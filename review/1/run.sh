#!/bin/bash
# TROUBLE=0 leaves the disruption out. Exit: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
timeout -k 5 110 node review/1/play
case $? in
	0) exit 0 ;;
	10) exit 1 ;;
	*) exit 2 ;;
esac
