# Entry points for building, testing and running.
BUILD ?= build
JOBS ?= $(shell nproc)
BENCH ?= all

.PHONY: help deps build demo test bench lint format proto clean

help:            ## shows this list
	@grep -E '^[a-z]+:.*##' makefile | sed -E 's/:.*##/\t/'

deps:            ## installs the packages (Debian, as root)
	@scripts/install_deps.sh

build: deps      ## builds the binary, the stand-ins, the tests and the benchmarks
	@cmake -S . -B $(BUILD) -G Ninja > /dev/null
	@cmake --build $(BUILD) -j $(JOBS)

demo: build      ## runs the whole path on loopback and prints a report
	@scripts/demo.sh $(BUILD)

test: build      ## runs every test; known-red ones apart
	@scripts/test.sh $(BUILD)

bench: build     ## prints measurements as JSON lines; BENCH=name picks one
	@scripts/bench.sh $(BUILD) $(BENCH)

lint: build      ## checks format and runs the linter
	@scripts/lint.sh $(BUILD)

format:          ## formats every source file
	@git ls-files -co --exclude-standard '*.cpp' '*.h' | grep -v '\.pb\.' | xargs clang-format -i

proto: deps      ## regenerates the committed gRPC code
	@protoc -I proto --cpp_out=proto proto/config_relay.proto proto/datagram.proto proto/siskindeal.proto
	@protoc -I proto --grpc_out=proto \
	  --plugin=protoc-gen-grpc=$$(command -v grpc_cpp_plugin) proto/siskindeal.proto

clean:           ## removes what was built
	@rm -rf $(BUILD)
