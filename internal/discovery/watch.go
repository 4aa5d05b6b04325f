package discovery

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fastjson"

	"sliptide/internal/http1"
	"sliptide/policy"
)

const (
	watchFor    = 3 * time.Second // a watch is held so long: short, so that two asks that fall silent are noticed in time
	watchGrace  = 500 * time.Millisecond
	listTimeout = time.Second
	// repeatedPause keeps an agent that repeats its answers from being asked without end, inside the time within which a
	// watch has to go on.
	repeatedPause = 50 * time.Millisecond
)

// MaxEndpoints is how many endpoints are known at most, over the life of a process; further ones are passed over.
const MaxEndpoints = 1 << 14

// Endpoint is one line of the list, with where to reach it.
type Endpoint struct {
	policy.Endpoint
	Name string // which it keeps over restarts of either side
	Addr string
	// What the list calls its zone and kind; empty but in a Directory's lists.
	ZoneName, KindName string
}

// SetZoneAndKind sets the endpoint's zone and kind by their names: their places in the settings, or one past the end of what these
// know, which is nothing special.
func (e *Endpoint) SetZoneAndKind(set *policy.Settings, zone, kind string) {
	e.Zone = position(set.Zones, zone)
	e.Kind = slices.IndexFunc(set.Kinds, func(k policy.DestKind) bool { return k.Name == kind })
	if e.Kind < 0 {
		e.Kind = len(set.Kinds)
	}
}

// List is the whole list of endpoints, or changes to it.
type List struct {
	Full      bool
	Version   uint64 // that the agent gave it
	Endpoints []Endpoint
}

// Watch follows the list. Update takes each list, in order.
type Watch struct {
	Settings *policy.Settings
	Log      zerolog.Logger
	Update   func(List)

	agent   *client
	pace    pace
	parser  fastjson.Parser
	ids     map[string]uint32 // an endpoint keeps its number as long as the process runs
	version uint64
	synced  bool   // the version stands for all that has been told, and nothing was missed since
	of      string // the agent whose version it is
	full    bool   // an endpoint past MaxEndpoints has been reported
	names   bool   // entries carry names of zones and kinds in place of numbers
}

// errListTooLong is the error of a list over MaxList. What was known stays in force.
var errListTooLong = errors.New("the list of endpoints is longer than the longest that is read: what was known stays in force")

// NewWatch returns a Watch on the agent at addr. The seed spreads its calls over time.
func NewWatch(addr string, set *policy.Settings, seed uint64, log zerolog.Logger, update func(List)) *Watch {
	return &Watch{Settings: set, Log: log, Update: update, agent: newClient(addr), pace: newPace(set, seed), ids: map[string]uint32{}}
}

// NewDirectoryWatch returns a Watch for a control member, which keeps the list for others: it reads lists of up to
// maxBody bytes and any number of endpoints, which carry names in place of numbers. It begins with what has changed
// since version, 0 with the whole list.
func NewDirectoryWatch(addr string, version uint64, maxBody int, seed uint64, log zerolog.Logger, update func(List)) *Watch {
	set := &policy.Settings{Senders: 1}
	w := NewWatch(addr, set, seed, log, update)
	w.names, w.agent.maxBody = true, maxBody
	w.version, w.synced, w.of = version, version != 0, addr
	return w
}

// SetAddr makes the watch follow the agent at addr, beginning with its whole list: its
// versions need not be the old one's.
func (w *Watch) SetAddr(addr string) { w.agent.move(addr) }

// Restore takes the list as it was last had, before Run.
func (w *Watch) Restore(text []byte) error {
	if len(text) == 0 {
		return nil
	}
	err := w.read(text)
	// What has changed since is asked for, not the whole list: that costs discovery a line for each endpoint, and
	// a fleet that is started in one moment would overbook it for good.
	w.synced, w.of = err == nil, w.agent.host()
	return err
}

// Run follows the list until the context ends. Through silence it keeps asking, at the pace's times: with a
// time-out, on a new connection, and for the whole list after a gap. An agent that turns it away leaves no gap.
//
// The first ask goes at once, also with a known list: whatever the agent holds counts as told, asked for or
// not, so a pause before it is a gap in which a drain is missed. With a known list it is a watch from that
// version, which the agent answers from what it holds. Where even that fails before any answer came, the
// fleet started in one moment: the next ask is spread over the pace's whole span, and further ones come at
// the pace that the whole fleet settles at, until one is answered.
func (w *Watch) Run(ctx context.Context) {
	defer w.agent.close()
	failed, answered, tooLong := 0, false, false
	for ctx.Err() == nil {
		began := time.Now()
		err := w.once(ctx)
		if err == nil {
			if failed > 0 {
				w.Log.Info().Int("tries", failed).Msg("discovery answers again")
			}
			failed, answered, tooLong = 0, true, false
			continue
		}
		failed++
		switch {
		case errors.Is(err, errListTooLong):
			if !tooLong {
				w.Log.Error().Err(err).Int("bytes_allowed", w.agent.maxBody).Msg("list of endpoints too long")
			}
			tooLong = true
		case failed == 1:
			w.Log.Warn().Err(err).Msg("discovery does not answer")
		}
		if !pause(ctx, w.pace.next(failed, answered, time.Since(began))) {
			return
		}
	}
}

func (w *Watch) once(ctx context.Context) error {
	path, timeout, host := "/discovery/hosts", listTimeout, w.agent.host()
	if w.synced = w.synced && w.of == host; w.synced {
		path = fmt.Sprintf("%s?index=%d&wait=%d", path, w.version, watchFor.Milliseconds())
		timeout = watchFor + watchGrace
	}
	request := append(http1.AppendRequest(nil, "GET", path, host), "\r\n"...)
	asked := time.Now()
	m, err := w.agent.do(ctx, host, request, timeout)
	if errors.Is(err, http1.ErrTooLarge) {
		err = errListTooLong
	}
	if err != nil {
		w.synced = false
		return err
	}
	if m.Status != 200 { // turned away with nothing told: what it held last still goes for both sides
		return fmt.Errorf("discovery answers %d", m.Status)
	}
	watched, from := w.synced, w.version
	list, err := w.parse(m.Body)
	if err != nil {
		w.synced = false
		return err
	}
	if watched && repeated(&list, from, time.Since(asked)) {
		w.Log.Warn().Uint64("version", list.Version).Msg("discovery repeats an answer: asking on a new connection")
		w.agent.close()
		if list.Full { // of a version that is in force, so that nothing changes by it
			w.take(list)
		}
		pause(ctx, repeatedPause)
		return nil
	}
	w.take(list)
	w.synced, w.of = true, host
	return nil
}

// repeated reports whether the answer to a watch from a version can't be its own, but is a copy of an earlier one:
// there is no news in it, and the watch's time was not over. All later answers of that connection would come one late.
func repeated(list *List, from uint64, took time.Duration) bool {
	if list.Version > from {
		return false
	}
	return list.Version < from && !list.Full || list.Version == from && took < watchFor/2
}

// read takes one list in discovery's form.
func (w *Watch) read(text []byte) error {
	list, err := w.parse(text)
	if err == nil {
		w.take(list)
	}
	return err
}

// parse reads one list in discovery's form.
func (w *Watch) parse(text []byte) (List, error) {
	v, err := w.parser.ParseBytes(text)
	if err != nil {
		return List{}, fmt.Errorf("list of endpoints: %w", err)
	}
	servers := v.Get("servers")
	if servers == nil || servers.Type() != fastjson.TypeArray {
		return List{}, fmt.Errorf("list of endpoints: no servers")
	}
	list := List{Full: v.GetBool("full"), Version: v.GetUint64("version")}
	for _, s := range servers.GetArray() {
		if e, ok := w.entry(s); ok {
			list.Endpoints = append(list.Endpoints, e)
		}
	}
	if w.names && list.Full { // of a whole directory the parser would keep some kilobytes for each endpoint
		w.parser = fastjson.Parser{}
	}
	return list, nil
}

// take makes a list the one in force.
func (w *Watch) take(list List) {
	w.version = list.Version
	if list.Full || len(list.Endpoints) > 0 {
		w.Update(list)
	}
}

func (w *Watch) entry(s *fastjson.Value) (Endpoint, bool) {
	name := string(s.GetStringBytes("id"))
	if name == "" {
		return Endpoint{}, false
	}
	e := Endpoint{Name: name, Addr: string(s.GetStringBytes("addr"))}
	switch string(s.GetStringBytes("state")) {
	case "up":
		e.State = policy.Ready
	case "draining":
		e.State = policy.Draining
	case "removed":
		e.State = policy.Gone
	default:
		return Endpoint{}, false
	}
	if _, err := netip.ParseAddrPort(e.Addr); err != nil && e.State != policy.Gone {
		w.Log.Warn().Str("endpoint", name).Str("addr", strconv.Quote(e.Addr)).Msg("no address: passed over")
		return Endpoint{}, false
	}
	e.Dest, e.Rating = s.GetInt("cell"), s.GetFloat64("weight")
	if w.names {
		e.ZoneName, e.KindName = string(s.GetStringBytes("zone")), string(s.GetStringBytes("kind"))
		return e, true
	}
	id, ok := w.ids[name]
	if !ok {
		if len(w.ids) >= MaxEndpoints {
			w.reportFull(name)
			return Endpoint{}, false
		}
		id = uint32(len(w.ids) + 1)
		w.ids[name] = id
	}
	e.ID = id
	e.SetZoneAndKind(w.Settings, string(s.GetStringBytes("zone")), string(s.GetStringBytes("kind")))
	return e, true
}

// reportFull logs, once, that an endpoint is passed over since no more are known.
func (w *Watch) reportFull(name string) {
	if w.full {
		return
	}
	w.full = true
	w.Log.Error().Str("endpoint", name).Int("endpoints_allowed", MaxEndpoints).Msg("too many endpoints: this and further new ones are passed over")
}

// position is the place of name in list, or one past its end.
func position(list []string, name string) int {
	if i := slices.Index(list, name); i >= 0 {
		return i
	}
	return len(list)
}
