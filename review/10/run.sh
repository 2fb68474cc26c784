#!/usr/bin/env bash
# TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd)
exec bash "$folder/../common-2/run-case.sh" "$folder"
