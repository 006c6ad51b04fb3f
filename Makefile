# make run    builds all, starts stand-ins and 6 entries on loopback, replays a trace
# make faults brings failures about between processes, live; see docs/operators/failures.md
# make test   runs what CI runs

SHELL := /bin/bash
BINARIES := sycamore-entry sycamorectl sycamore-standin sycamore-replay sycamore-console

.PHONY: build run test format lint faults slopes clean

build:
	@mkdir -p bin
	go build -o bin/ ./cmd/...

run: build
	scripts/run.sh

faults: build
	scripts/faults.sh

test: lint
	go test ./...

lint:
	@unformatted=$$(gofmt -l cmd internal examples); if [ -n "$$unformatted" ]; then echo "not formatted: $$unformatted"; exit 1; fi
	go vet ./...
	go tool staticcheck ./...

format:
	gofmt -w cmd internal examples

clean:
	rm -rf bin out
