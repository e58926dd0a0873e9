#!/bin/sh
# Builds the programs of the second review's cases, with their stand-ins, into bin/. The build of the deploy file comes first.
cd "$(dirname "$0")/.." || exit 1
mkdir -p bin || exit 1
for n in 6 7 8 9 10; do
	if [ -f "review/$n/main.go" ]; then
		go build -o "bin/review-$n" "./review/$n" || exit 1
	fi
done
