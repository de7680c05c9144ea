#!/usr/bin/env bash
# Builds the drivers of the cases 4 to 6, with their stand-ins (hosts, clients, operator, platform), into target/review-2.
# They use the standard library only. The programs under test are built by the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for number in 4 5 6; do
  if [ -f "review/$number/case.rs" ]; then
    rustc --edition 2024 -O --crate-name "case_$number" "review/$number/case.rs" -o "target/review-2/case-$number"
  fi
done
