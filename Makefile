# Targets: build, test, lint, demo (KILL=1 kills a balancer during the run), day (the
# direct return mode against stand-ins), soak (long random runs), measure (all
# benchmarks), capacity (slopes and page), generate (protobuf code).
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

# The packages whose random runs understand rapid's flags. The seed is printed, so that a failure can be repeated.
SOAK_PACKAGES = ./core/coordination/admission ./core/coordination/balancer ./core/coordination/configuration \
	./core/coordination/endpoint ./core/coordination/membership

soak:
	@echo "seed $(SOAK_SEED), $(SOAK_CHECKS) checks"
	$(GO) test -count=1 -timeout=0 -run Random $(SOAK_PACKAGES) -rapid.checks=$(SOAK_CHECKS) -rapid.seed=$(SOAK_SEED)
	$(GO) test -count=1 -timeout=0 -run 'Agree|Views|AnyOrder' ./core/coordination/discovery ./core/coordination/spread \
		-rapid.checks=$(SOAK_CHECKS) -rapid.seed=$(SOAK_SEED)
	$(GO) test -count=1 -timeout=0 -run DirectSoak ./test/process -soak.seeds=$(SOAK_SEEDS) -soak.first=$(SOAK_SEED)

# Plays a day of the direct return mode against our own stand-ins: planned changes, losses and faults of the store.
day:
	$(GO) test -count=1 -v -run 'TestDirect' ./test/process | grep -E '^(---|    ---|ok|FAIL|    .*Requests:|    .*in force)'

measure: build
	$(GO) test -count=1 -run '^$$' -bench . -benchmem ./core/... ./io/...

# Runs the benchmarks of tools/slopes, one command after the other, and writes the tables and the plot of the page anew.
capacity: build
	$(GO) run ./tools/slopes -out docs/capacity/slopes.yaml
	./bin/cornellb capacity --slopes docs/capacity/slopes.yaml --page docs/CAPACITY.md --plot docs/capacity/fleet.svg

generate:
	$(GO) run github.com/bufbuild/buf/cmd/buf@v1.75.0 generate
