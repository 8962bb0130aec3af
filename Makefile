# Both targets need Go alone; they fetch the declared modules.
.PHONY: demo up test check generate soak

# The main job: a small deployment that survives three faults.
demo:
	./scripts/demo.sh

# A deployment to try things on, until Ctrl-C.
up:
	./scripts/up.sh

# All tests, as CI runs them.
test:
	go test -count=1 ./...

# Formatter and linters.
check:
	@test -z "$$(gofmt -l .)" || { gofmt -l .; echo "not formatted"; exit 1; }
	go vet ./...
	go tool staticcheck ./...

# Rewrites the generated pages of docs.
generate:
	go test ./io/commandline ./core/event ./core/operator -run Golden -update
