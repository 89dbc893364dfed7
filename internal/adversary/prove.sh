#!/usr/bin/env bash
# Takes mends of earlier faults out, one at a time, on a copy of the project, and measures how long the search
# needs to find each. Prints a table for docs/adversary.md.
#   prove.sh [SECONDS [SEED [PART]]]    SECONDS bounds each search (default 60); PART selects faults by a part of their name
set -u
seconds=${1:-60} seed=${2:-1} part=${3:-}
root=$(cd "$(dirname "$0")/../.." && pwd)
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
git -C "$root" ls-files -z --cached --others --exclude-standard -- '*.go' go.mod go.sum 'internal/**/testdata/**' '*.toml' '*.txt' |
  (cd "$root" && xargs -0 tar c) | tar x -C "$copy"

# search FLAG: prints the conversations and the seconds until a violation, and its kind.
search() {
  (cd "$copy" && go test -count=1 -run TestSearchFindsNoViolation ./internal/adversary -adversary.for="${seconds}s" -adversary.seed="$seed" "$@" 2>&1) |
    sed -n 's/.*after \([0-9]*\) conversations and \([0-9.a-z]*\): \([A-Za-z]*\):.*/\1 | \2 | \3/p; s/^# .*/does not build | | /p' | head -1
}

# prove NAME FILE SED: takes one mend out.
prove() {
  case $1 in *"$part"*) ;; *) return ;; esac
  cp "$copy/$2" "$copy/kept"
  sed -i "$3" "$copy/$2"
  if cmp -s "$copy/$2" "$copy/kept"; then
    echo "| $1 | the mend was not found | | | | |"
    return
  fi
  found=$(search)
  random=$(search -adversary.random)
  cp "$copy/kept" "$copy/$2"
  echo "| $1 | ${found:-not found | |} | ${random:-not found | |} |"
}

echo "| fault | tries | time | as | tries at random | time | as |"
echo "|---|---|---|---|---|---|---|"
prove "a refusal without an ID is believed (022)" internal/forwarder/verdict.go '/case r.Trace.Owner != backend.OwnerSelf:/,+1d'
prove "an answer to another request is taken (022)" internal/backend/answer.go '/^func (x \*exchange) owns/,/^}/s/return false/return true/'
prove "bytes after an answer stay on the connection (022)" internal/backend/response.go 's/r.trailing = x.conn.reader.Buffered() > 0/r.trailing = false/'
prove "two heads are joined (022)" internal/backend/answer.go 's/if splicedHead(answer) {/if false {/'
prove "an endless head is read (023)" internal/backend/head.go 's/maxHeadBytes = 16 << 10/maxHeadBytes = 1 << 40/'
prove "the length of a request is stated twice (issue 60)" internal/backend/exchange.go 's/"Content-Length": true, //'
prove "a space before the colon of a length (027)" internal/http1/syntax.go 's/ValidHeaderFieldName(before)/ValidHeaderFieldName(strings.TrimRight(before, " "))/'
prove "a body follows an answer to HEAD (027)" internal/http1/answer.go 's/a.bodiless = a.headOnly || hasNoBody(status)/a.bodiless = false/'
prove "a stream without an event is whole (032)" internal/forwarder/stream.go 's/return !s.streaming \&\& !resumes || /return false \&\& resumes || /'
prove "the text of a failure follows its answer (036)" internal/http1/answer.go '/^func (a \*Answer) SendBody/,/^}/{/length := body.Length()/d;s/if errors.Is(err, io.EOF) || length/length := body.Length()\n\tif errors.Is(err, io.EOF) || length/}'
prove "one ID twice on a connection (022)" internal/forwarder/work.go 's/if slices.Contains(w.addresses, address) {/if false \&\& slices.Contains(w.addresses, address) {/'
prove "an endless answer takes the link (025)" internal/backend/pace.go 's/^\(func newPace(.*{\)$/\1\n\tlinkBytes = 0/'
prove "a part of an answer to an upload is whole (037)" internal/backend/pool.go 's/\t\terr = c.writeError$/\t\t_ = c.writeError/'
prove "a status that no answer has (038)" internal/httpclient/head.go 's/case status < http.StatusContinue, status > maxStatus:/case false:/'
prove "a name with a blank in a head (027)" internal/httpclient/head.go 's/return checkNames(answer.Header)/return nil/'
prove "a name with a blank in a trailer (038)" internal/httpclient/head.go 's/if len(answer.TransferEncoding) > 0 {/if false {/'
