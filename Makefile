.PHONY: build demo test lint measure model fuzz format

build:
	go build -o bin/ ./cmd/...

demo:
	./examples/demo.sh

test: model
	go test -race ./...

model:
	./spec/check

lint:
	test -z "$$(go tool gofumpt -l .)" || { go tool gofumpt -l .; exit 1; }
	go vet ./...
	go tool staticcheck ./...
	go tool revive -config revive.toml -set_exit_status ./...

format:
	go tool gofumpt -w .

measure: build
	go test -tags measure -count=1 -timeout 60m -v ./measure
