# Runs a case of the rig; sourced by the run.sh of a case with the case's name as the argument.
cd "$(dirname "$0")"
root=$(cd ../.. && pwd)
rig="$root/target/review/rig"
if [ ! -x "$rig" ] || [ ! -x "$root/target/release/mustardshedd" ]; then
  echo "not built: the build of the deploy file and review/build.sh come first" >&2
  exit 2
fi
dir=$(mktemp -d) || exit 2
"$rig" "$1" record.txt "$root" "$dir"
status=$?
rm -rf "$dir"
exit "$status"
