GOLANGCI_VERSION := v2.15.0
GOLANGCI := $(shell go env GOPATH)/bin/golangci-lint

.PHONY: demo test lint model build

demo: ## Build the binaries and run the whole system on loopback.
	./scripts/demo.sh

test: ## Run all tests with the race detector.
	./scripts/test.sh

build:
	go build -o bin/ ./cmd/...

lint: $(GOLANGCI)
	@test -z "$$(gofmt -l .)" || { gofmt -l .; exit 1; }
	go vet ./...
	$(GOLANGCI) run ./...

$(GOLANGCI):
	go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)

model: ## Model-check the specifications exhaustively within their bounds.
	./scripts/model.sh
