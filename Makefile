# Targets: build, test, lint, demo (KILL=1 kills a balancer during the run), day (tests of the
# direct return mode against stand-ins), soak (long random tests), measure (all benchmarks),
# capacity (slopes and the page docs/CAPACITY.md), generate (protobuf code).
GO ?= go
SOAK_CHECKS ?= 2000
SOAK_SEED ?= $(shell date +%s)
SOAK_SEEDS ?= 10

.PHONY: build test lint demo day soak measure capacity generate

build:
	$(GO) build -o bin/ ./cmd/...

lint:
	@unformatted=$$(gofmt -l $$(git ls-files '*.go')); \
	if [ -n "$$unformatted" ]; then echo "gofmt: $$unformatted"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...
	$(GO) tool revive -config revive.toml -set_exit_status ./...

test: lint build
	./tools/test.sh

demo: build
	KILL=$(KILL) ./tools/demo.sh

# Packages whose random tests use rapid and so take its flags. The seed is printed, so that a failure can be reproduced.
SOAK_PACKAGES = ./core/coordination/admission ./core/coordination/balancer ./core/coordination/configuration \
	./core/coordination/endpoint ./core/coordination/membership

soak:
	@echo "seed $(SOAK_SEED), $(SOAK_CHECKS) checks"
	$(GO) test -count=1 -timeout=0 -run Random $(SOAK_PACKAGES) -rapid.checks=$(SOAK_CHECKS) -rapid.seed=$(SOAK_SEED)
	$(GO) test -count=1 -timeout=0 -run 'Agree|Views|AnyOrder' ./core/coordination/discovery ./core/coordination/spread \
		-rapid.checks=$(SOAK_CHECKS) -rapid.seed=$(SOAK_SEED)
	$(GO) test -count=1 -timeout=0 -run DirectSoak ./test/process -soak.seeds=$(SOAK_SEEDS) -soak.first=$(SOAK_SEED)

# Runs the process tests of the direct return mode against stand-ins: planned changes, killed balancers, failing
# endpoints and faults of the store. Prints the results of the clients and the times until a version is in force.
day:
	$(GO) test -count=1 -v -run 'TestDirect' ./test/process | grep -E '^(---|    ---|ok|FAIL|    .*Requests:|    .*in force)'

measure: build
	$(GO) test -count=1 -run '^$$' -bench . -benchmem ./core/... ./io/...

# Runs the benchmarks of tools/slopes, one command after the other, and rewrites the tables and the plot of the page.
capacity: build
	$(GO) run ./tools/slopes -out docs/capacity/slopes.yaml
	./bin/cornellb capacity --slopes docs/capacity/slopes.yaml --page docs/CAPACITY.md --plot docs/capacity/fleet.svg

generate:
	$(GO) run github.com/bufbuild/buf/cmd/buf@v1.75.0 generate
