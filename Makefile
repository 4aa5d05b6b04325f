.PHONY: build test lint fuzz crash h2-chaos storms telemetry measure bench generate run toy clean

build: ## the program and the simulator's adapter, into bin/
	mkdir -p bin && CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/...

test: ## all checks, as CI runs them
	./test.sh

lint:
	@test -z "$$(gofmt -l cmd example internal policy)" || { gofmt -l cmd example internal policy; exit 1; }
	go vet ./...

fuzz: ## the parsers that read what others wrote, half a minute each
	go test ./internal/http1 -run '^$$' -fuzz FuzzMessages -fuzztime 30s
	go test ./internal/journal -run '^$$' -fuzz FuzzReplay -fuzztime 30s
	go test ./policy -run '^$$' -fuzz . -fuzztime 30s
	go test ./internal/operator -run '^$$' -fuzz FuzzRead -fuzztime 30s
	go test ./internal/knowledge/store -run '^$$' -fuzz FuzzDecode -fuzztime 30s
	go test ./internal/h2 -run '^$$' -fuzz FuzzPeer -fuzztime 60s
	go test ./internal/storm -run '^$$' -fuzz FuzzGuard -fuzztime 30s
	go test ./internal/telemetry -run '^$$' -fuzz FuzzClean -fuzztime 30s

crash: ## a process killed 1,000 times while it writes under load (about five minutes)
	SLIPTIDE_CRASHES=1000 go test ./cmd/sliptide -count=1 -timeout 30m -v -run TestKilledWhileWriting | grep -v '"level"'

h2-chaos: ## 100,000 messages to partners that close, reset and say GOAWAY at random (about two minutes)
	SLIPTIDE_H2_MESSAGES=100000 go test ./cmd/sliptide -count=1 -timeout 30m -v -run TestH2Chaos | grep h2_test

storms: ## a partner down for 15 s under three senders, 20 seeds, four cases, before and after (about five minutes)
	SLIPTIDE_MEASURE=1 SLIPTIDE_SEEDS=20 go test ./cmd/sliptide -count=1 -timeout 30m -parallel 20 -v -run TestMeasureStorms | grep -E 'storm_test|second'

telemetry: ## what a collector costs, healthy, absent and black-holed (about five minutes)
	SLIPTIDE_MEASURE=1 go test ./cmd/sliptide -count=1 -timeout 30m -v -run TestMeasureTelemetry | grep measure_test

measure: ## the tables of docs/: restarts and cost, with knowledge off and on (about two minutes)
	SLIPTIDE_MEASURE=1 go test ./cmd/sliptide -count=1 -timeout 30m -v -run "TestMeasure[CHR]" | grep -E '(measure|h2)_test' 

bench: ## what a snapshot, a refusal in a storm, a traced message and an event of the lab cost
	go test ./internal/knowledge/store ./internal/storm ./internal/telemetry ./internal/lab/world -run '^$$' -bench . -benchmem

generate: ## the schema and the protobuf code, after their sources have changed
	go run ./cmd/sliptide schema > deploy/sliptide.xsd.new && mv deploy/sliptide.xsd.new deploy/sliptide.xsd
	go run ./cmd/sliptide-lab schema > experiments/experiment.xsd.new && mv experiments/experiment.xsd.new experiments/experiment.xsd
	cd internal/knowledge/pb && protoc --go_out=. --go_opt=paths=source_relative knowledge.proto

run: build ## a sender with the example's configuration; `make toy` is the world round it
	mkdir -p state
	RELAY_CONFIG=example/config.json RELAY_STATE=state bin/sliptide run --operator example/sliptide.xml

toy:
	go run ./example/toy

clean:
	rm -rf bin state
