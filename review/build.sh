#!/bin/sh
# Builds the program that plays the clients, endpoints and platform of the cases. It needs no network.
set -eu
cd "$(dirname "$0")"
mkdir -p ../bin
CGO_ENABLED=0 GOPROXY=off GOTOOLCHAIN=local go build -o ../bin/review-driver ./driver
