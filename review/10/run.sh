#!/usr/bin/env bash
# Plays this case, see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# Wants the build of the deploy file and review/build-2.sh. With TROUBLE=0 the disruption is left out.
cd "$(dirname "$0")" || exit 2
root="$(cd ../.. && pwd)"
program="$root/target/review-2/release/review-case"
[ -x "$program" ] && [ -x "$root/target/release/lotusmoor-sidecar" ] || exit 2
folder="$(mktemp -d)" || exit 2
trap 'rm -rf "$folder"' EXIT
REVIEW_ROOT="$root" REVIEW_FOLDER="$folder" timeout 115 "$program" leave "$PWD/record.txt"
code=$?
case $code in
  0 | 1) exit $code ;;
  *) exit 2 ;;
esac
