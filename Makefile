# Commands for people and CI. Tools are built once into bin/.

GO ?= go
BIN := bin
PKG := ./...
GOLANGCI_VERSION := v2.15.0

.PHONY: all build tools generate fmt lint test demo measure-path

all: build

build: 
	$(GO) build -o $(BIN)/ . ./cmd/...

tools: $(BIN)/gofumpt $(BIN)/golangci-lint

$(BIN)/gofumpt: tools/go.mod
	cd tools && $(GO) build -o ../$(BIN)/ tool
	cd tools && $(GO) build -o ../$(BIN)/ ./genproto

# golangci-lint is pinned here, as its module graph can't be merged into tools/go.mod.
$(BIN)/golangci-lint:
	GOBIN=$(CURDIR)/$(BIN) $(GO) install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)

generate: tools
	$(BIN)/genproto $(BIN)/protoc-gen-go internal/wire/proto
	$(GO) generate $(PKG)

fmt: tools
	$(BIN)/golangci-lint fmt

lint: tools
	$(BIN)/golangci-lint run $(PKG)

test:
	$(GO) vet $(PKG)
	$(GO) test -race -count=1 -timeout 8m $(PKG)

measure-path: build
	$(BIN)/measure-path
