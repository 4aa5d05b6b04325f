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
	// watchDuration is how long the agent holds a watch without a change. It is short enough for a third request to be
	// answered in time after a watch and the next request have both timed out.
	watchDuration = 3 * time.Second
	watchGrace    = 500 * time.Millisecond // for the answer to a watch, beyond watchDuration
	listTimeout   = time.Second
	// repeatedAnswerDelay limits the rate of requests to an agent that keeps repeating an answer. It is well within the
	// time by which a watch has to be renewed.
	repeatedAnswerDelay = 50 * time.Millisecond
)

// MaxEndpoints is the maximum number of endpoints that a process keeps numbers for during its run, removed endpoints
// included. Further ones are ignored.
const MaxEndpoints = 1 << 14

// Endpoint is an entry of the endpoint list.
type Endpoint struct {
	policy.Endpoint
	Name string // stable across restarts of the sender and of discovery
	Addr string
	// ZoneName and KindName are the names in the list. They are set only in the lists of NewDirectoryWatch.
	ZoneName, KindName string
}

// SetZoneAndKind sets the endpoint's zone and kind to the indexes of these names in the settings. A name that the
// settings do not contain gets one past the last index, to which no special treatment applies.
func (e *Endpoint) SetZoneAndKind(settings *policy.Settings, zone, kind string) {
	e.Zone = indexOrLen(settings.Zones, zone)
	e.Kind = slices.IndexFunc(settings.Kinds, func(k policy.DestKind) bool { return k.Name == kind })
	if e.Kind < 0 {
		e.Kind = len(settings.Kinds)
	}
}

// List is the whole list of endpoints, or a set of changes to it.
type List struct {
	Full      bool
	Version   uint64 // assigned by the agent
	Endpoints []Endpoint
}

// Watch follows the endpoint list by long polling. It calls Update with each list, in order, from the goroutine of
// Restore or Run, except for an empty set of changes. While Run is running, only SetAddr may be called.
type Watch struct {
	Settings *policy.Settings
	Log      zerolog.Logger
	Update   func(List)

	agent               *agentClient
	backoff             backoff
	parser              fastjson.Parser
	ids                 map[string]uint32 // numbers by name; an endpoint keeps its number until the process ends
	version             uint64
	synced              bool   // every change up to version was received, and none can have been missed since
	versionAddr         string // the agent that version comes from
	endpointLimitLogged bool   // it was logged that an endpoint beyond MaxEndpoints is ignored
	keepNames           bool   // endpoints get the names of their zones and kinds instead of numbers
}

// errListTooLong is returned for a list over the maximum length. The endpoints known before stay in effect.
var errListTooLong = errors.New("the endpoint list exceeds the maximum length: the endpoints known before stay in effect")

// NewWatch returns a Watch on the agent at addr. The seed determines the jitter of its retries.
func NewWatch(addr string, settings *policy.Settings, seed uint64, log zerolog.Logger, update func(List)) *Watch {
	return &Watch{
		Settings: settings, Log: log, Update: update,
		agent: newAgentClient(addr), backoff: newBackoff(settings, seed), ids: map[string]uint32{},
	}
}

// NewDirectoryWatch returns a Watch for a control member, which serves the list to subscribers. It reads lists of up to
// maxBodyBytes with any number of endpoints, whose zones and kinds it keeps as names instead of numbers. It begins with
// the changes since version, or with the whole list if version is 0.
func NewDirectoryWatch(addr string, version uint64, maxBodyBytes int, seed uint64, log zerolog.Logger, update func(List)) *Watch {
	settings := &policy.Settings{Senders: 1}
	w := NewWatch(addr, settings, seed, log, update)
	w.keepNames, w.agent.maxBodyBytes = true, maxBodyBytes
	w.version, w.synced, w.versionAddr = version, version != 0, addr
	return w
}

// SetAddr makes the watch follow the agent at addr, beginning with its whole list: the versions of two agents are not
// comparable.
func (w *Watch) SetAddr(addr string) { w.agent.setAddr(addr) }

// Restore applies the list from the configuration, as it was last received. It is called before Run.
func (w *Watch) Restore(text []byte) error {
	if len(text) == 0 {
		return nil
	}
	err := w.load(text)
	// The next request is for the changes since then. The whole list costs discovery one line for each endpoint: a fleet
	// whose processes start at the same moment would overload it permanently.
	w.synced, w.versionAddr = err == nil, w.agent.currentAddr()
	return err
}

// Run follows the list until the context ends. While discovery does not answer, it retries with pauses: each request
// has a time-out and goes out on a new connection, and it asks for the whole list if a change may have been missed. An
// error answer from the agent does not mean that a change was missed.
//
// The first request is sent at once, even if a list is known: what the agent holds counts as known to the sender,
// requested or not, so that a drain could be missed during a pause. With a known list the first request is a watch from
// its version, which the agent answers from what it holds. If that fails before any answer has come, probably the whole
// fleet has started at the same moment: the next request is spread over the longest pause, and further ones are sent at
// the rate at which the retries of the whole fleet level off, until one is answered.
func (w *Watch) Run(ctx context.Context) {
	defer w.agent.close()
	failures, answered, tooLongLogged := 0, false, false
	for ctx.Err() == nil {
		start := time.Now()
		err := w.requestList(ctx)
		if err == nil {
			if failures > 0 {
				w.Log.Info().Int("tries", failures).Msg("discovery answers again")
			}
			failures, answered, tooLongLogged = 0, true, false
			continue
		}
		failures++
		switch {
		case errors.Is(err, errListTooLong):
			if !tooLongLogged {
				w.Log.Error().Err(err).Int("bytes_allowed", w.agent.maxBodyBytes).Msg("list of endpoints too long")
			}
			tooLongLogged = true
		case failures == 1:
			w.Log.Warn().Err(err).Msg("discovery does not answer")
		}
		if !sleep(ctx, w.backoff.pause(failures, answered, time.Since(start))) {
			return
		}
	}
}

// requestList makes one request, for the changes since the version or for the whole list, and applies the answer.
func (w *Watch) requestList(ctx context.Context) error {
	path, timeout, addr := "/discovery/hosts", listTimeout, w.agent.currentAddr()
	if w.synced = w.synced && w.versionAddr == addr; w.synced {
		path = fmt.Sprintf("%s?index=%d&wait=%d", path, w.version, watchDuration.Milliseconds())
		timeout = watchDuration + watchGrace
	}
	request := append(http1.AppendRequest(nil, "GET", path, addr), "\r\n"...)
	start := time.Now()
	m, err := w.agent.call(ctx, addr, request, timeout)
	if errors.Is(err, http1.ErrTooLarge) {
		err = errListTooLong
	}
	if err != nil {
		w.synced = false
		return err
	}
	if m.Status != 200 { // the agent has reported nothing: the version is still valid for both sides
		return fmt.Errorf("discovery answered %d to a request for the endpoint list", m.Status)
	}
	watched, fromVersion := w.synced, w.version
	list, err := w.parse(m.Body)
	if err != nil {
		w.synced = false
		return err
	}
	if watched && isRepeatedAnswer(&list, fromVersion, time.Since(start)) {
		w.Log.Warn().Uint64("version", list.Version).Msg("discovery repeated an answer, retrying on a new connection")
		w.agent.close()
		if list.Full { // its version is the one in effect, so that it changes nothing
			w.apply(list)
		}
		sleep(ctx, repeatedAnswerDelay)
		return nil
	}
	w.apply(list)
	w.synced, w.versionAddr = true, addr
	return nil
}

// isRepeatedAnswer reports whether the answer to a watch from fromVersion must be a duplicate of an earlier answer: it
// holds changes up to an older version, or it is of the same version and came before half of the watch's duration had
// passed. Every later answer on that connection would be that to the request before. A whole list of an older version
// does not count as a duplicate.
func isRepeatedAnswer(list *List, fromVersion uint64, elapsed time.Duration) bool {
	if list.Version > fromVersion {
		return false
	}
	return list.Version < fromVersion && !list.Full || list.Version == fromVersion && elapsed < watchDuration/2
}

// load parses and applies a list in discovery's JSON format.
func (w *Watch) load(text []byte) error {
	list, err := w.parse(text)
	if err == nil {
		w.apply(list)
	}
	return err
}

// parse reads a list in discovery's JSON format. Endpoints that are invalid or over MaxEndpoints are left out.
func (w *Watch) parse(text []byte) (List, error) {
	v, err := w.parser.ParseBytes(text)
	if err != nil {
		return List{}, fmt.Errorf("parse list of endpoints: %w", err)
	}
	servers := v.Get("servers")
	if servers == nil || servers.Type() != fastjson.TypeArray {
		return List{}, fmt.Errorf("parse list of endpoints: no \"servers\" array")
	}
	list := List{Full: v.GetBool("full"), Version: v.GetUint64("version")}
	for _, s := range servers.GetArray() {
		if e, ok := w.parseEndpoint(s); ok {
			list.Endpoints = append(list.Endpoints, e)
		}
	}
	if w.keepNames && list.Full { // after a whole directory the parser would retain some kilobytes for each endpoint
		w.parser = fastjson.Parser{}
	}
	return list, nil
}

// apply records the list's version and passes the list to Update, unless it is an empty set of changes.
func (w *Watch) apply(list List) {
	w.version = list.Version
	if list.Full || len(list.Endpoints) > 0 {
		w.Update(list)
	}
}

// parseEndpoint reads an endpoint of a list. It returns false if the endpoint is to be ignored.
func (w *Watch) parseEndpoint(s *fastjson.Value) (Endpoint, bool) {
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
		w.Log.Warn().Str("endpoint", name).Str("addr", strconv.Quote(e.Addr)).
			Msg("endpoint ignored: its address is not of the form IP:port")
		return Endpoint{}, false
	}
	e.Dest, e.Rating = s.GetInt("cell"), s.GetFloat64("weight")
	if w.keepNames {
		e.ZoneName, e.KindName = string(s.GetStringBytes("zone")), string(s.GetStringBytes("kind"))
		return e, true
	}
	id, ok := w.ids[name]
	if !ok {
		if len(w.ids) >= MaxEndpoints {
			w.logEndpointLimit(name)
			return Endpoint{}, false
		}
		id = uint32(len(w.ids) + 1)
		w.ids[name] = id
	}
	e.ID = id
	e.SetZoneAndKind(w.Settings, string(s.GetStringBytes("zone")), string(s.GetStringBytes("kind")))
	return e, true
}

// logEndpointLimit logs, the first time only, that an endpoint is ignored because of MaxEndpoints.
func (w *Watch) logEndpointLimit(name string) {
	if w.endpointLimitLogged {
		return
	}
	w.endpointLimitLogged = true
	w.Log.Error().Str("endpoint", name).Int("endpoints_allowed", MaxEndpoints).
		Msg("too many endpoints: this and further new ones are ignored")
}

// indexOrLen returns the index of name in list, or len(list) if it is absent.
func indexOrLen(list []string, name string) int {
	if i := slices.Index(list, name); i >= 0 {
		return i
	}
	return len(list)
}
