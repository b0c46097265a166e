.PHONY: build demo test measure soak lint generate modelcheck bench fuzz

build:
	go build -o bin/ ./cmd/...

demo: build
	./examples/demo/demo.sh

test:
	go test -race ./...

lint:
	./tools/lint.sh

generate:
	./tools/generate.sh

modelcheck:
	./spec/check.sh
