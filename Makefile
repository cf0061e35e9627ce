GOLANGCI_VERSION := v2.15.0
PROTOC_GEN_GO_VERSION := v1.36.12
PROTOC_GEN_GO_GRPC_VERSION := v1.6.2
TOOLS := $(CURDIR)/.tools
GOLANGCI := $(TOOLS)/golangci-lint-$(GOLANGCI_VERSION)

.PHONY: check build test lint format vet demo generate bench clean

check: lint vet build test ## The test command: linter with formatter check, vet, build, tests.

$(GOLANGCI):
	GOBIN=$(TOOLS) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)
	mv $(TOOLS)/golangci-lint $@

lint: $(GOLANGCI)
	$(GOLANGCI) run ./...

format: $(GOLANGCI)
	$(GOLANGCI) fmt ./...

vet:
	go vet ./...

build:
	go build -o bin/ ./cmd/...

test:
	.ci/test

demo: build
	bash scripts/demo.sh

generate:
	GOBIN=$(TOOLS) go install google.golang.org/protobuf/cmd/protoc-gen-go@$(PROTOC_GEN_GO_VERSION)
	GOBIN=$(TOOLS) go install google.golang.org/grpc/cmd/protoc-gen-go-grpc@$(PROTOC_GEN_GO_GRPC_VERSION)
	PATH=$(TOOLS):$$PATH protoc --go_out=. --go_opt=paths=source_relative --go-grpc_out=. --go-grpc_opt=paths=source_relative peer/grpcpeer/peer.proto internal/relay/grpcrelay/relay.proto

bench:
	go test -run '^$$' -bench . -benchmem ./...

clean:
	rm -rf bin .tools
