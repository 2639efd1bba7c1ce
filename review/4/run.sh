#!/usr/bin/env bash
SCENARIO=resume
. "$(dirname "$0")/../common-2.sh"
