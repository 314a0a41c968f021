#!/bin/sh
# Builds the stand-ins of the third review's scripts into target/review-3/. Run it in the repository, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for folder in review/1[1-5]; do
	if [ -f "$folder/main.go" ]; then
		go build -tags review -o "target/review-3/case$(basename "$folder")" "./$folder"
	fi
done
