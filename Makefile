.PHONY: build test lint fuzz crash soak soak-returns returns h2-chaos storms telemetry duties duties-faults duties-gaps copies-faults copies-runs copies-size shares copies-price fleet copies measure bench generate run toy clean capacity capacity-page scale shards

build: ## the program and the simulator's adapter, into bin/
	mkdir -p bin && CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/...

test: ## all checks, as CI runs them
	./test.sh

lint:
	@test -z "$$(gofmt -l cmd example internal policy)" || { gofmt -l cmd example internal policy; exit 1; }
	go vet ./...
	go tool staticcheck ./...

fuzz: ## the parsers that read what others wrote, half a minute each
	go test ./internal/http1 -run '^$$' -fuzz FuzzMessages -fuzztime 30s
	go test ./internal/journal -run '^$$' -fuzz FuzzReplay -fuzztime 30s
	go test ./policy -run '^$$' -fuzz . -fuzztime 30s
	go test ./internal/operator -run '^$$' -fuzz FuzzRead -fuzztime 30s
	go test ./internal/knowledge/store -run '^$$' -fuzz FuzzDecode -fuzztime 30s
	go test ./internal/h2 -run '^$$' -fuzz FuzzPeer -fuzztime 60s
	go test ./internal/storm -run '^$$' -fuzz FuzzGuard -fuzztime 30s
	go test ./internal/telemetry -run '^$$' -fuzz FuzzSanitize -fuzztime 30s

crash: ## a process killed 1,000 times while it writes under load (about five minutes)
	SLIPTIDE_CRASHES=1000 go test ./cmd/sliptide -count=1 -timeout 30m -v -run TestKilledWhileWriting | grep -v '"level"'

soak-returns: ## 56 seeds of outages on real processes, with upgrades, kills, endpoints listed and enabled in them (about two minutes)
	SLIPTIDE_SOAK_SEEDS=56 go test -race ./cmd/sliptide -count=1 -timeout 30m -parallel 16 -v -run TestSoakOfReturns | grep -E 'coldreturn_test|ok|FAIL'

returns: ## the load of a partner that returns cold, by kind of outage and event (about five minutes)
	SLIPTIDE_MEASURE=1 SLIPTIDE_SEEDS=2 go test ./cmd/sliptide -count=1 -timeout 30m -parallel 32 -v -run TestMeasureColdReturns | grep 'worst load in each run'
	SLIPTIDE_SEEDS=200 go test ./internal/storm -count=1 -v -run TestReturningPartner | grep -E 'worst load|seed'

soak: ## 56 seeds of faults on real processes: partners that repeat answers or hang, upgrades, signals, stepped clocks (about five minutes)
	SLIPTIDE_SOAK_SEEDS=56 go test -race ./cmd/sliptide -count=1 -timeout 30m -parallel 8 -v -run TestSoakOfFaults | grep -E 'soak_test|ok|FAIL'

h2-chaos: ## 100,000 messages to partners that close, reset and say GOAWAY at random (about two minutes)
	SLIPTIDE_H2_MESSAGES=100000 go test ./cmd/sliptide -count=1 -timeout 30m -v -run TestH2Chaos | grep h2_test

storms: ## a partner down for 15 s under three senders, 20 seeds, four cases, before and after (about five minutes)
	SLIPTIDE_MEASURE=1 SLIPTIDE_SEEDS=20 go test ./cmd/sliptide -count=1 -timeout 30m -parallel 20 -v -run TestMeasureStorms | grep -E 'storm_test|second'

telemetry: ## what a collector costs, healthy, absent and black-holed (about five minutes)
	SLIPTIDE_MEASURE=1 go test ./cmd/sliptide -count=1 -timeout 30m -v -run TestMeasureTelemetry | grep measure_test

duties: ## duties of a fleet: 1,000 schedules of faults in the model, and the fleet at 3 to 1,000 members (about three minutes)
	SLIPTIDE_SCHEDULES=1000 SLIPTIDE_MEASURE=1 go test ./internal/fleet/model -count=1 -timeout 30m -v | grep -E '_test|found|rapid|ok|FAIL'

duties-faults: ## 200 schedules of faults on five processes each (about ten minutes)
	SLIPTIDE_FLEET_SCHEDULES=200 go test ./internal/fleet -run TestFaultsAtRandom -parallel 4 -count=1 -timeout 40m -v | grep -E '_test|ok|FAIL'

duties-gaps: ## how long a duty has no holder, 100 faults of each kind, and what an idle fleet costs (about ten minutes)
	SLIPTIDE_MEASURE=1 SLIPTIDE_FAULTS=100 go test ./internal/fleet -run TestMeasure -parallel 4 -count=1 -timeout 60m -v | grep -E '_test|ok|FAIL'

copies-faults: ## 1,000 losses of a machine with its disk under load and link faults, five programs a team (about ten minutes)
	SLIPTIDE_LOSSES=1000 SLIPTIDE_MEASURE=1 go test ./cmd/sliptide -run TestLosses -parallel 5 -count=1 -timeout 120m -v | grep -E '_test|ok|FAIL'

copies-runs: ## every small run of copies: pairs of faults on three members (about eight minutes)
	SLIPTIDE_MEASURE=1 go test ./internal/fleet/copies/model -run TestEverySmallRun -count=1 -timeout 60m -v | grep -E '_test|ok|FAIL'

shares: ## 10,000 schedules of faults on a limit that a fleet shares, and what is sent at 3, 30 and 300 members (about a minute)
	SLIPTIDE_MEASURE=1 SLIPTIDE_SCHEDULES=10000 go test ./internal/fleet/share/model -count=1 -timeout 30m -v | grep -E '_test|ok|FAIL'

copies-size: ## a zone lost, a tenth lost and a rolling restart of 30 and 300 members in the emulator (about two minutes)
	SLIPTIDE_MEASURE=1 go test ./internal/fleet/copies/model -run TestSizes -count=1 -timeout 30m -v | grep -E 'members|FAIL'

copies-price: ## what copies cost: the 202, the delivery, the processor, links, memory, the most messages, the worth after a loss (about five minutes)
	SLIPTIDE_MEASURE=1 go test ./cmd/sliptide -run "TestMeasure(Copies|Most|Worth)" -parallel 1 -count=1 -timeout 30m -v | grep -E '_test|PASS|FAIL'

measure: ## the tables of docs/: restarts and cost, with knowledge off and on (about two minutes)
	SLIPTIDE_MEASURE=1 go test ./cmd/sliptide -count=1 -timeout 30m -v -run "TestMeasure[CHR]" | grep -E '(measure|h2)_test' 

bench: ## what a snapshot, a refusal in a storm, a traced message and an event of the lab cost
	go test ./internal/knowledge/store ./internal/storm ./internal/telemetry ./internal/lab/world -run '^$$' -bench . -benchmem

capacity: build ## what each part grows by, measured, and the tables of docs/CAPACITY.md (about five minutes)
	bin/sliptide-lab capacity

capacity-page: build ## the tables of docs/CAPACITY.md from what was measured last, after a change of experiments/fleet/target.xml
	bin/sliptide-lab capacity --again

scale: build ## a sharded fleet of up to 4,000 members under faults, and the tables of docs/scale.md (about 13 minutes)
	bin/sliptide-lab scale experiments/fleet/scale.xml --out docs/capacity --page docs/scale.md

generate: ## the schema and the protobuf code, after their sources have changed
	go run ./cmd/sliptide schema > deploy/sliptide.xsd.new && mv deploy/sliptide.xsd.new deploy/sliptide.xsd
	go run ./cmd/sliptide control schema > deploy/control.xsd.new && mv deploy/control.xsd.new deploy/control.xsd
	go run ./cmd/sliptide-lab scale --schema > experiments/fleet/scale.xsd.new && mv experiments/fleet/scale.xsd.new experiments/fleet/scale.xsd
	go run ./cmd/sliptide-lab schema > experiments/experiment.xsd.new && mv experiments/experiment.xsd.new experiments/experiment.xsd
	cd internal/fleet/pb && protoc --go_out=. --go_opt=paths=source_relative --go-grpc_out=. --go-grpc_opt=paths=source_relative fleet.proto directory.proto
	cd internal/knowledge/pb && protoc --go_out=. --go_opt=paths=source_relative knowledge.proto

run: build ## a sender with the example's configuration; `make toy` is the world round it
	mkdir -p state
	RELAY_CONFIG=example/config.json RELAY_STATE=state bin/sliptide run --operator example/sliptide.xml

fleet: build ## three senders of one fleet and a toy partner that goes down now and then, in this terminal
	go run ./example/fleet

copies: build ## three senders that copy what they take on; one is killed and its folder removed, and nothing is lost
	go run ./example/fleet -lose

shards: build ## three control members and a sender of shards, in this terminal; `make toy` is the world round them
	mkdir -p state/sender
	pids=; trap 'kill $$pids' INT TERM EXIT; \
	for i in 1 2 3; do bin/sliptide control run example/control-$$i.xml & pids="$$pids $$!"; done; \
	RELAY_CONFIG=example/config.json RELAY_STATE=state/sender bin/sliptide run --operator example/sliptide-shards.xml & pids="$$pids $$!"; wait

toy:
	go run ./example/toy

clean:
	rm -rf bin state
