LINT_VERSION := v2.15.0
BIN := $(CURDIR)/bin
LINT := $(shell go env GOPATH)/bin/golangci-lint

.PHONY: all build test race fuzz bench format vet lint pages demo clean

all: build

build:
	go build -o $(BIN)/ ./cmd/...

test:
	go test ./...

race:
	go test -race ./...

# A longer run of the stateful fuzzing; CI runs the same properties with fixed seeds.
fuzz:
	RAPID_CHECKS=5000 go test -count=1 ./internal/policy/... ./internal/state/...

bench:
	go test -run '^$$' -bench . -benchmem ./internal/...

format:
	test -z "$$(gofmt -l .)"

vet:
	go vet ./...

$(LINT):
	go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)

lint: $(LINT)
	$(LINT) run ./...

# Runs the commands of the operators' page as they are printed.
pages:
	docs/try.sh docs/OPERATIONS.md

demo:
	go run ./cmd/chicoryrock demo

clean:
	rm -rf $(BIN)
