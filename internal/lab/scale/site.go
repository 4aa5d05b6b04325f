package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"

	"sliptide/internal/control"
	"sliptide/internal/fleet/link"
	"sliptide/internal/fleet/pb"
	"sliptide/internal/lab/proc"
)

const (
	settleTimeout = 2 * time.Minute        // for each phase of the start: endpoint list, hollow members, each real sender
	pollInterval  = 100 * time.Millisecond // between two checks while a phase or a fault waits for a state
)

// Programs holds the paths of the programs that a run starts.
type Programs struct{ Sender, Lab string }

// site holds all processes of one size or comparison of a run.
type site struct {
	file         *File
	programs     Programs
	dir          string
	agent        *agent
	controls     []*controlProcess
	relays       []*relay // all relays, for close
	hollows      []*hollowProcess
	senders      []*senderProcess
	observations *observationLog
	members      []HollowMember // hollow, indexed by member number
	realSenders  []HollowMember // sharded senders only
}

// controlProcess is a control member. The other control members reach it through relays.
type controlProcess struct {
	name, groupAddr, directoryAddr, region string
	index                                  int
	configPath                             string
	child                                  atomic.Pointer[child]
	relays                                 []*relay // with this member at either end: two for each direction of a pair
}

// senderProcess is a real sender. Relays count the bytes on its links to control members and discovery.
type senderProcess struct {
	name         string
	addr         string
	child        *child // never restarted
	relays       []*relay
	configPath   string
	operatorPath string
	readyDelay   time.Duration // from the process start until /up answered 200
}

func regionName(i int) string { return fmt.Sprintf("region-%d", i) }

// locationOf returns the region and zone of the n-th member, from 0. Members are spread over the zones in turn, and
// zones over the regions.
func (f *File) locationOf(n int) (region, zone string) {
	z := n % f.Zones
	return regionName(z % f.Regions), fmt.Sprintf("zone-%02d", z)
}

// newSite starts the discovery agent, with the given number of destinations, and the control members. A site that is
// returned together with an error must be closed, too.
func newSite(ctx context.Context, f *File, programs Programs, dir string, destinations int) (*site, error) {
	s := &site{file: f, programs: programs, dir: dir, observations: newObservationLog()}
	var err error
	if s.agent, err = newAgent(destinations); err != nil {
		return nil, err
	}
	for i := range f.Controls {
		c := &controlProcess{name: fmt.Sprintf("control-%02d", i), region: regionName(i % f.Regions), index: i}
		if c.groupAddr, err = proc.FreeAddr(); err == nil {
			c.directoryAddr, err = proc.FreeAddr()
		}
		if err != nil {
			return s, err
		}
		s.controls = append(s.controls, c)
	}
	for _, c := range s.controls {
		if err := s.configureControl(c); err != nil {
			return s, err
		}
	}
	for _, c := range s.controls {
		if err := s.startControl(ctx, c); err != nil {
			return s, err
		}
	}
	return s, nil
}

// voters returns the number of control members that vote.
func (f *File) voters() int {
	if f.Controls >= 5 {
		return 5
	}
	return 3
}

// configureControl writes a control member's file. The member reaches each of the others through relays of its own.
func (s *site) configureControl(c *controlProcess) error {
	var xml strings.Builder
	fmt.Fprintf(&xml, "<control version=\"1\" name=%q state=\"state\" discovery=%q replicas=\"%d\">\n", c.name, s.agent.addr(), s.file.Replicas)
	for _, other := range s.controls {
		group, dir := other.groupAddr, other.directoryAddr
		if other != c {
			for _, target := range []*string{&group, &dir} {
				r, err := newRelay(*target)
				if err != nil {
					return err
				}
				s.relays = append(s.relays, r)
				other.relays = append(other.relays, r)
				c.relays = append(c.relays, r) // to be cut when either end is partitioned
				*target = r.addr()
			}
		}
		fmt.Fprintf(&xml, " <member name=%q addr=%q directory=%q region=%q voter=\"%t\"/>\n", other.name, group, dir, other.region, other.index < s.file.voters())
	}
	xml.WriteString(" <duties lease=\"5s\" election=\"1s\"/>\n</control>\n")
	dir := filepath.Join(s.dir, c.name)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	c.configPath = filepath.Join(dir, "control.xml")
	return os.WriteFile(c.configPath, []byte(xml.String()), 0o600)
}

func (s *site) startControl(ctx context.Context, c *controlProcess) error {
	started, err := spawn(ctx, s.dir, c.name, nil, nil, nil, s.programs.Sender, "control", "run", c.configPath)
	if err == nil {
		c.child.Store(started)
	}
	return err
}

// status requests a control member's status.
func (c *controlProcess) status(ctx context.Context) (control.Status, error) {
	var status control.Status
	conn, err := link.Dial(c.directoryAddr, nil)
	if err != nil {
		return status, err
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	a, err := pb.NewLinksClient(conn).Call(ctx, &pb.Ask{Status: &pb.Status{}})
	if err != nil {
		return status, err
	}
	return status, json.Unmarshal([]byte(a.Status), &status)
}

// leader returns the control member that a majority of the control members reports as leader, or nil if there is none.
func (s *site) leader(ctx context.Context) *controlProcess {
	votes := map[string]int{}
	for _, c := range s.controls {
		if status, err := c.status(ctx); err == nil && status.Leader != "" {
			votes[status.Leader]++
		}
	}
	for _, c := range s.controls {
		if votes[c.name] > len(s.controls)/2 {
			return c
		}
	}
	return nil
}

// awaitDirectory waits until every control member holds the whole endpoint list.
func (s *site) awaitDirectory(ctx context.Context) error {
	for end := time.Now().Add(settleTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		behind := 0
		for _, c := range s.controls {
			select {
			case <-c.child.Load().exited:
				return fmt.Errorf("%s exited before it held the endpoint list", c.name)
			default:
			}
			if status, err := c.status(ctx); err != nil || status.Endpoints < s.agent.destinations {
				behind++
			}
		}
		if behind == 0 {
			return nil
		}
		if err := ctx.Err(); err != nil {
			return err
		}
	}
	return fmt.Errorf("not all control members held the endpoint list within %v", settleTimeout)
}

func (s *site) servers() (list []ControlServer) {
	for _, c := range s.controls {
		list = append(list, ControlServer{c.name, c.directoryAddr, c.region})
	}
	return list
}

// startHollows starts count hollow members. The members of a process are all of one zone.
func (s *site) startHollows(ctx context.Context, count int, disabledChecks uint) error {
	byZone := map[string]*hollowProcess{}
	for n := range count {
		region, zone := s.file.locationOf(n)
		m := HollowMember{Number: n, Name: fmt.Sprintf("hollow-%05d", n), Region: region, Zone: zone}
		s.members = append(s.members, m)
		h := byZone[zone]
		if h == nil || len(h.settings.Members) >= s.file.MembersPerProcess {
			h = &hollowProcess{name: fmt.Sprintf("hollows-%03d", len(s.hollows)), zone: zone, settings: HollowSettings{Controls: s.servers(), DisabledChecks: disabledChecks}}
			byZone[zone] = h
			s.hollows = append(s.hollows, h)
		}
		h.settings.Members = append(h.settings.Members, m)
	}
	for _, h := range s.hollows {
		if err := h.start(ctx, s.programs.Lab, s.dir, s.observations); err != nil {
			return err
		}
	}
	return nil
}

// awaitServing waits until every hollow member has been assigned a shard.
func (s *site) awaitServing(ctx context.Context) error {
	for end := time.Now().Add(settleTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if s.observations.servingCount() == len(s.members) {
			return nil
		}
		if err := ctx.Err(); err != nil {
			return err
		}
	}
	return fmt.Errorf("only %d of %d hollow members served a shard within %v", s.observations.servingCount(), len(s.members), settleTimeout)
}

// startSender starts a real sender, located as the n-th member, and waits until it is ready. It is either sharded, or
// subscribes to discovery itself and knows every destination. If it starts but does not become ready, it is returned
// together with the error.
func (s *site) startSender(ctx context.Context, name string, n int, sharded bool) (*senderProcess, error) {
	sender := &senderProcess{name: name}
	region, zone := s.file.locationOf(n)
	addr, err := proc.FreeAddr()
	if err != nil {
		return nil, err
	}
	sender.addr = addr
	agentRelay, err := newRelay(s.agent.addr())
	if err != nil {
		return nil, err
	}
	sender.relays = append(sender.relays, agentRelay)
	s.relays = append(s.relays, agentRelay)
	var xml strings.Builder
	xml.WriteString("<sliptide version=\"1\">\n <ready patience=\"2m\"/>\n")
	if sharded {
		fmt.Fprintf(&xml, " <fleet><shards enabled=\"true\" region=%q zone=%q replicas=\"%d\">\n", region, zone, s.file.Replicas)
		for _, c := range s.controls {
			r, err := newRelay(c.directoryAddr)
			if err != nil {
				return nil, err
			}
			sender.relays = append(sender.relays, r)
			s.relays = append(s.relays, r)
			fmt.Fprintf(&xml, "  <control name=%q addr=%q region=%q/>\n", c.name, r.addr(), c.region)
		}
		xml.WriteString(" </shards></fleet>\n")
		s.realSenders = append(s.realSenders, HollowMember{Name: name, Region: region, Zone: zone})
	}
	xml.WriteString("</sliptide>\n")
	dir := filepath.Join(s.dir, name)
	if err := os.MkdirAll(filepath.Join(dir, "state"), 0o700); err != nil {
		return nil, err
	}
	sender.configPath, sender.operatorPath = filepath.Join(dir, "config.json"), filepath.Join(dir, "sliptide.xml")
	if err := os.WriteFile(sender.operatorPath, []byte(xml.String()), 0o600); err != nil {
		return nil, err
	}
	text, err := json.Marshal(senderConfig(name, addr, agentRelay.addr()))
	if err == nil {
		err = os.WriteFile(sender.configPath, text, 0o600)
	}
	if err != nil {
		return nil, err
	}
	startTime := time.Now()
	sender.child, err = spawn(ctx, s.dir, name, []string{"RELAY_CONFIG=" + sender.configPath, "RELAY_STATE=" + filepath.Join(dir, "state")}, nil, nil, s.programs.Sender, "run", "--operator", sender.operatorPath)
	if err != nil {
		return nil, err
	}
	s.senders = append(s.senders, sender)
	for end := time.Now().Add(settleTimeout); time.Now().Before(end); time.Sleep(pollInterval / 10) {
		if response, err := http.Get("http://" + addr + "/up"); err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				sender.readyDelay = time.Since(startTime)
				return sender, nil
			}
		}
		select {
		case <-sender.child.exited:
			return sender, fmt.Errorf("%s exited before it was ready", name)
		case <-ctx.Done():
			return sender, ctx.Err()
		default:
		}
	}
	return sender, fmt.Errorf("%s was not ready within %v", name, settleTimeout)
}

// senderConfig returns the platform's configuration of a real sender.
func senderConfig(name, addr, discovery string) map[string]any {
	return map[string]any{
		"name": name, "listen": addr, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
		"settings": map[string]any{
			"areas": []string{"zone"}, "kinds": []string{"partner"}, "balancers": 1, "round": 5,
			"family_info": map[string]any{"call_slots": 8, "kind_batch": []int{5}, "own_limits": []bool{false}},
			"limits":      map[string]any{"max_attempts": 6, "most_held": 1000, "keepalive": 15000, "dial_timeout": 1500, "retry_after": true, "max_retry_after": 2000},
			"contract":    map[string]any{"answer_slack": 20, "stop_sending_within": 500, "cold": 9000, "cold_from": 0.25, "tip_multiple": 1.5, "tip_after": 3000},
			"reporting":   map[string]any{"fields": []string{"x0", "x1"}},
			"services":    []any{map[string]any{"name": "note", "aim": 4000, "deadline": 20000, "effect": "safe", "worth": 1, "late_worth": 0.4}},
			"tenants":     []any{map[string]any{"name": "acme", "quota_per_s": 10}},
		},
	}
}

// linkBytes returns the bytes carried so far, in both directions, by the sender's links to control members and
// discovery.
func (p *senderProcess) linkBytes() (n int64) {
	for _, r := range p.relays {
		n += r.bytes.Load()
	}
	return n
}

// residentBytes returns the resident memory of all processes, including this one.
func (s *site) residentBytes() int64 {
	total := proc.ResidentBytes(os.Getpid())
	add := func(c *child) {
		if c != nil {
			total += proc.ResidentBytes(c.cmd.Process.Pid)
		}
	}
	for _, c := range s.controls {
		add(c.child.Load())
	}
	for _, h := range s.hollows {
		add(h.child.Load())
	}
	for _, sender := range s.senders {
		add(sender.child)
	}
	return total
}

// close ends all processes, relays and the agent.
func (s *site) close() {
	for _, h := range s.hollows {
		h.child.Load().kill()
	}
	for _, sender := range s.senders {
		sender.child.kill()
	}
	for _, c := range s.controls {
		c.child.Load().kill()
	}
	for _, r := range s.relays {
		r.close()
	}
	if s.agent != nil {
		s.agent.close()
	}
}
