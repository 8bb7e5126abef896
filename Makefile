.PHONY: build test generate docs

build:
	go build -o bin/fescuestep ./cmd/fescuestep

test:
	.ci/run

generate:
	find rpc -name '*.proto' -print0 | PATH="$$(go env GOPATH)/bin:$$PATH" xargs -0 -n 1 protoc --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative

# Rewrites the tables in docs that are generated from the code.
docs:
	go test ./cmd/fescuestep -run Docs -update
