# Targets: build, test, run, bench, generate, lint, format.
.PHONY: build test run bench generate lint format

GOLANGCI = github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0

build:
	go build -o bin/ ./cmd/...

test:
	go test -race -count=1 ./...

run: build
	scripts/run.sh

bench:
	go test -run='^$$' -bench=. -benchmem ./...

generate:
	cd tools && go tool buf generate

lint:
	go run $(GOLANGCI) run ./...

format:
	go run $(GOLANGCI) fmt ./...
