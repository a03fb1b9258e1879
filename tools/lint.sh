#!/usr/bin/env bash
# Checks the formatting of all sources except generated ones and runs clang-tidy on them. Needs a
# configured build folder. LINT_JOBS sets the number of parallel clang-tidy processes.
#
# A source that passed is not checked again until it, a header that its object depends on, its
# compile command, .clang-tidy or clang-tidy itself changes. Results are kept in LINT_CACHE
# (default: the user's cache folder) under a digest of these inputs.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
cache=${LINT_CACHE:-${XDG_CACHE_HOME:-$HOME/.cache}/briarwood-lint}
mkdir -p "$cache"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

mapfile -t sources < <(git ls-files --cached --others --exclude-standard '*.cc' '*.h' | grep -v '^generated/')
clang-format --dry-run --Werror "${sources[@]}"
printf '%s\n' "${sources[@]}" | grep '\.cc$' | sort >"$work/sources"

# Lines "SOURCE DEPENDENCY", with paths relative to the repository where they lie in it. Sources
# that have not been compiled have none and are always checked.
ninja -C "$build" -t deps 2>/dev/null | awk -v root="$PWD/" '
  /^[^ ]/ { valid = /\(VALID\)/; source = ""; next }
  valid && NF == 1 {
    path = $1
    sub("^\\.\\./", root, path)
    if (index(path, root) == 1) path = substr(path, length(root) + 1)
    if (source == "") source = path
    print source, path
  }' | sort -u >"$work/deps"
cut -d' ' -f2 "$work/deps" | sort -u | xargs -d '\n' sha256sum >"$work/digests"
common=$({
  cat .clang-tidy
  clang-tidy --version
} | sha256sum | cut -c1-64)
# Lines "DEPENDENCY DIGEST" of each source go into one file, whose digest names the result. The
# paths of a checkout do not count, so that all checkouts share their results.
awk -v folder="$work" -v common="$common" '
  FILENAME == ARGV[1] { digest[$2] = $1; next }
  FILENAME == ARGV[2] { wanted[$1] = 1; next }
  $1 in wanted {
    name = $1
    gsub("/", "%", name)
    file = folder "/inputs." name
    if (file != last) {
      if (last != "") close(last)
      print common >> file
      last = file
    }
    print $2, digest[$2] >> file
  }' "$work/digests" "$work/sources" "$work/deps"
awk -v root="$PWD/" '
  /"command":/ { command = $0; while ((at = index(command, root)) > 0)
      command = substr(command, 1, at - 1) substr(command, at + length(root)) }
  /"file":/ { gsub(/.*"file": "|",?$/, ""); if (index($0, root) == 1) print substr($0, length(root) + 1) "\t" command }
' "$build/compile_commands.json" | sort -u >"$work/commands"

while IFS= read -r source; do
  inputs="$work/inputs.${source//\//%}"
  if [ -f "$inputs" ]; then
    { grep -F "$source"$'\t' "$work/commands" || true; } >>"$inputs"
    key=$(sha256sum "$inputs" | cut -c1-64)
    [ -e "$cache/$key" ] || echo "$source $cache/$key"
  else
    echo "$source -"
  fi
done <"$work/sources" >"$work/unchecked"
echo "lint: $(wc -l <"$work/unchecked") of $(wc -l <"$work/sources") sources to check"
xargs -a "$work/unchecked" -r -P "${LINT_JOBS:-$(nproc)}" -n 2 bash -c '
  clang-tidy -p "$0" --quiet "$1" 2> >(grep -vE "^[0-9]+ warnings? (generated|treated)|^Suppressed" >&2) || exit 1
  [ "$2" = - ] || touch "$2"' "$build"
