# Runs a case; sourced by the run.sh of a case from the repository root.
# usage: run-case.sh MAIN-CLASS RECORD
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run: only the
# result that stands in the record counts, so that a failed start is not taken for a broken rule.
main=$1
record=$2
pids=$(mktemp)

# Ends relays that the case could not end itself, by the ids that it noted when it started them.
end_relays() {
  while read -r pid; do
    if grep -qs damaskmoor-relay "/proc/$pid/cmdline"; then
      kill -KILL "$pid"
    fi
  done < "$pids"
  rm -f "$pids"
}
trap end_relays EXIT

if [ ! -f "review/target/$main.class" ] || [ ! -f target/damaskmoor-relay.jar ]; then
  echo "RESULT: the case could not run: run deploy/build and review/build.sh first" | tee "$record" >&2
  exit 2
fi
echo "The case was started and has not ended." > "$record"
timeout -k 5 110 java -Xmx512m -cp review/target "$main" "$record" "$pids"
status=$?
case "$status $(grep 'RESULT:' "$record" | tail -n 1)" in
  "1 "*"RESULT: BROKEN: "*) exit 1 ;;
  "0 "*"RESULT: the rule held") exit 0 ;;
  *) exit 2 ;;
esac
