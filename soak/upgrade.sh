#!/usr/bin/env bash
# Runs drawn seeds of the soak with nodes that begin with an earlier build of this repository
# and are replaced by the present one: soak/upgrade.sh COMMIT SEEDS [soak flags].
# Ends with 0 when no promise was broken, with 3 when the clone does not hold the commit.
set -euo pipefail
if [ $# -lt 2 ]; then
  echo "usage: soak/upgrade.sh COMMIT SEEDS [soak flags]" >&2
  exit 2
fi
cd "$(dirname "$0")/.."
commit=$1 seeds=$2
shift 2
if ! git cat-file -e "$commit^{commit}" 2>/dev/null; then
  echo "upgrade: this clone does not hold $commit, nothing was run"
  exit 3
fi
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
mkdir "$folder/source"
git archive "$commit" | tar -x -C "$folder/source"
(cd "$folder/source" && go build -o "$folder/earlier" ./cmd/valveslip)
go build -o "$folder/present" ./cmd/valveslip
broken=0
for seed in $(seq 1 "$seeds"); do
  "$folder/present" soak --from "$folder/earlier" --seed "$seed" "$@" || broken=$((broken + 1))
done
echo "upgrade: from $commit, $seeds seeds, $broken broken"
[ "$broken" -eq 0 ]
