#!/usr/bin/env bash
# run-case.sh NUMBER: runs the driver of a case from the root of the repository, in a temporary folder, and ends whatever
# it has left running. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -u
number=$1
cd "$(dirname "$0")/../.." || exit 2
driver=target/review-2/case-$number
for program in "$driver" target/release/controller target/release/gateway; do
  [ -x "$program" ] || { echo "$program is missing: build first"; exit 2; }
done
REVIEW_FOLDER=$(mktemp -d) || exit 2
REVIEW_RECORD=$PWD/review/$number/record.txt
export REVIEW_FOLDER REVIEW_RECORD
child=
clean_up() {
  [ -n "$child" ] && kill -KILL "$child" 2>/dev/null
  if [ -f "$REVIEW_FOLDER/pids" ]; then
    while read -r pid program; do
      # Only processes of this run: the program has to be the one that was started under this id.
      if [ "$(readlink "/proc/$pid/exe" 2>/dev/null)" = "$PWD/target/release/$program" ]; then
        kill -KILL "$pid" 2>/dev/null
      fi
    done < "$REVIEW_FOLDER/pids"
  fi
  rm -rf "$REVIEW_FOLDER"
}
trap clean_up EXIT
trap 'exit 2' INT TERM HUP
"$driver" &
child=$!
wait "$child"
code=$?
child=
case $code in 0 | 1) exit "$code" ;; *) exit 2 ;; esac
