#!/usr/bin/env bash
# One entry of another writer in the platform's list; see claim.txt.
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../world/play.sh" foreign-entry "$here"
