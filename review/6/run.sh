#!/usr/bin/env bash
SCENARIO=addroute
. "$(dirname "$0")/../common-2.sh"
