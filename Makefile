# Both targets need Go alone; they fetch the declared modules.
.PHONY: demo test check generate soak

# The main job: a small deployment that survives three faults.
demo:
	./scripts/demo.sh

# All tests, as CI runs them.
test:
	go test -count=1 ./...

# Long property tests of batch work: 12,000 histories, a quarter per seed.
SOAK_HISTORIES ?= 3000
soak:
	for s in 101 102 103 104; do \
		go test -count=1 -timeout 30m ./io/standin/history -run 'TestHistories|TestTwoOwners' \
			-rapid.checks=$(SOAK_HISTORIES) -rapid.seed=$$s || exit 1; \
	done

# Formatter and linters.
check:
	@test -z "$$(gofmt -l .)" || { gofmt -l .; echo "not formatted"; exit 1; }
	go vet ./...
	go tool staticcheck ./...

# Rewrites the generated pages of docs.
generate:
	go test ./io/commandline ./core/event ./core/operator -run Golden -update
