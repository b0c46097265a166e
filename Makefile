.PHONY: build demo test lint generate modelcheck measure soak bench fuzz seefail

build:
	go build -o bin/ ./cmd/...

demo: build
	./examples/demo/demo.sh

test:
	./tools/test.sh

lint:
	./tools/lint.sh

generate:
	./tools/generate.sh

modelcheck:
	./spec/check.sh

measure:
	go run ./measure/cmd -write docs/MEASURES.md

SEED ?= 1
LENGTH ?= 3m

soak:
	go test -tags soak -count=1 -timeout 30m ./soak/ -args -seed $(SEED) -length $(LENGTH)

