#!/usr/bin/env bash
# usage: play.sh SCENARIO FOLDER TROUBLE
# Plays a scenario of world.cpp with five control processes and four gateways, as on the
# deployment laurentien-theo, and writes FOLDER/record.txt. TROUBLE 0: the same without
# the disruption. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
set -euo pipefail
# What goes wrong before the scenario plays isn't a broken rule.
trap 'exit 2' ERR
cd "$(dirname "$0")/../.."
scenario=$1
folder=$2
trouble=$3
world=target/review/review_world
if [ ! -x target/bin/olivevalved ] || [ ! -x "$world" ]; then
  echo "not built: the build of deploy/system.toml, then review/build.sh" >&2
  exit 2
fi
data=$(mktemp -d "${TMPDIR:-/tmp}/olivevalve-review.XXXXXX")
finish() {
  # Whatever the program has not ended itself.
  while read -r pid; do
    if [ "$(readlink "/proc/$pid/exe" 2>/dev/null)" = "$PWD/target/bin/olivevalved" ]; then
      kill -KILL "$pid" 2>/dev/null || true
    fi
  done < <(cat "$data/pids" 2>/dev/null)
  rm -rf "$data"
}
trap finish EXIT
net=127.$((RANDOM % 100 + 100)).$((RANDOM % 250 + 1))
seeds="[\"$net.1:8121\", \"$net.2:8121\", \"$net.3:8121\"]"

# Fills a template of the deploy file with the figures of that deployment.
fill() { # template, name, host, data hall, bootstrap
  sed -E 's/\{\{#[^}]*\}\}.*\{\{\/[^}]*\}\},?//' "$1" | sed -E '/\{\{#/,/\{\{\//d' | sed \
    -e "s|{{nodeName.json}}|\"$2\"|" \
    -e "s|{{data_hall.json}}|\"$4\"|" \
    -e "s|{{listen.readiness.json}}|\"$net.$3:8225\"|" \
    -e "s|{{listen.frontend.json}}|\"$net.$3:8222\"|" \
    -e "s|{{listen.controlPlane.json}}|\"$net.$3:8121\"|" \
    -e "s|{{cloudApi.address.json}}|\"$net.61:8223\"|" \
    -e "s|{{dataDir.json}}|\"$data/$2.data\"|" \
    -e "s|{{seedNodes.json}}|$seeds|" \
    -e "s|{{ip}}|$net.$3|" \
    -e 's|{{internalPortRange.0}}|7520|' -e 's|{{internalPortRange.1}}|7535|' \
    -e "s|{{bootstrap}}|$5|" -e 's|{{faultTolerance.machines}}|2|' \
    -e 's|{{bounds.retryBudgetRatio}}|0.9|' -e 's|{{bounds.retrySlack}}|54|' \
    -e 's|{{bounds.retryWindowS}}|10|' -e 's|{{bounds.sessionS}}|5|'
}

halls=(hall-laval hall-levis hall-trois-riv hall-laval hall-levis)
for i in 0 1 2 3 4; do
  fill deploy/control.json.in "core-$i" $((i + 1)) "${halls[$i]}" true >"$data/core-$i.first.json"
  fill deploy/control.json.in "core-$i" $((i + 1)) "${halls[$i]}" false >"$data/core-$i.json"
done
for i in 0 1 2 3; do
  fill deploy/gateway.json.in "edge-$i" $((i + 21)) "${halls[$i]}" false >"$data/edge-$i.json"
done
for settings in "$data"/*.json; do
  if ! target/bin/olivevalved --check "$settings" >/dev/null; then
    exit 2
  fi
done
code=0
timeout -k 2 110 "$world" "$scenario" "$net" "$data" "$trouble" >"$folder/record.txt" || code=$?
{
  echo "last lines of the processes' logs that are no JSON:"
  grep -hv '^{' "$data"/*.log | sort | uniq -c || true
} >>"$folder/record.txt"
grep -E ' (LOST|MIXED|REFUSED|Fault)|run twice|stray messages|tries |did not start|in use' "$folder/record.txt" || true
case $code in
  0 | 1) exit "$code" ;;
  *) exit 2 ;;
esac
