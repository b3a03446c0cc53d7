# Commands for people and CI. Tools are built once into bin/.

GO ?= go
BIN := bin
PKG := ./...
GOLANGCI_VERSION := v2.15.0
SEED ?= 1
MINUTES ?= 5

# Tests listed in KNOWN-RED.txt as "test: TestName" are printed and not run.
KNOWN_RED := $(shell sed -n 's/^test: //p' KNOWN-RED.txt 2>/dev/null | paste -sd'|')

.PHONY: all build tools generate fmt lint test demo soak measure-path measure-policy measure-config measure-moves measure-scale

# Time until an accepted revision is in force at every daemon.
measure-config:
	$(GO) run ./cmd/measure-config
