#!/usr/bin/env bash
# Builds the program with each planted defect of this folder, in a temporary folder, and holds
# the running soak to finding it by the promise that the defect breaks.
set -euo pipefail
cd "$(dirname "$0")/../.."
declare -A promises=(
  [takes-no-news]="a configuration is in force in time"
  [sends-to-leaving]="leaving workers get no work after the bound"
  [knows-only-its-own-path]="nodes without a path to workers serve their callers"
  [trusts-rejections]="requests that may not be repeated run at most once"
  [believes-what-it-sees]="streams hold events of one software version"
  [begins-unrecorded]="streams hold events of one software version"
  [trusts-entries]="streams hold events of one software version"
)
declare -A schedules=([trusts-entries]=soak/schedules/entries-late.yaml [trusts-rejections]=soak/schedules/surplus-answers.yaml
  [believes-what-it-sees]=soak/schedules/all-killed.yaml [begins-unrecorded]=soak/schedules/all-killed.yaml)
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
go build -o "$folder/soak" ./cmd/valveslip
missed=0
for defect in "${!promises[@]}"; do
  mkdir "$folder/$defect"
  git archive HEAD | tar -x -C "$folder/$defect"
  (cd "$folder/$defect" && git apply "$OLDPWD/soak/planted/$defect.patch" && go build -o "$folder/$defect.bin" ./cmd/valveslip)
  "$folder/soak" soak --binary "$folder/$defect.bin" --schedule "${schedules[$defect]:-soak/planted/calm.yaml}" --logs "$folder/$defect.logs" >"$folder/$defect.out" 2>&1 || true
  if grep -E "^${promises[$defect]} +[0-9]+ +[1-9]" "$folder/$defect.out"; then
    echo "planted: $defect was found"
  else
    echo "planted: $defect was NOT found"
    missed=$((missed + 1))
  fi
done
[ "$missed" -eq 0 ]
