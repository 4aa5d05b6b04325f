package cli

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"sliptide/internal/fleet/copies"
	"sliptide/internal/fleet/duty"
	"sliptide/internal/fleet/link"
	"sliptide/internal/fleet/pb"
	"sliptide/internal/fleet/voter"
	"sliptide/internal/keys"
	"sliptide/internal/operator"
)

const askFor = 4 * time.Second // a member is waited for so long

type fleetCmd struct {
	Status   fleetStatus   `cmd:"" help:"Who leads, who is there, who holds how much."`
	Duties   fleetDuties   `cmd:"" help:"Each duty, its holder and its token."`
	Copies   fleetCopies   `cmd:"" help:"Who keeps copies of each sender's journal, and who takes one over."`
	HandOver fleetHandOver `cmd:"" help:"Ask the holder of a duty to hand it to a member."`
	Remove   fleetRemove   `cmd:"" help:"End a member for good: what it holds goes on to others once its lease is over."`
}

// fleetAsk says whom to ask.
type fleetAsk struct {
	Operator string `help:"The operators' file, whose members are asked." placeholder:"FILE" env:"SLIPTIDE_OPERATOR" default:"deploy/sliptide.xml"`
	At       string `help:"Ask the member at this address alone." placeholder:"HOST:PORT"`
}

// fleet is the operators' file, with what links need where it names keys.
func (c *fleetAsk) fleet() (f *operator.Fleet, with *tls.Config, err error) {
	file, err := operator.Load(c.Operator)
	if err != nil {
		return nil, nil, fmt.Errorf("%w%w", misuse, err)
	}
	if f = &file.Fleet; !f.Enabled {
		return nil, nil, fmt.Errorf("%w%s: no <fleet enabled=\"true\">", misuse, c.Operator)
	}
	if f.Cert != "" {
		with, _, err = keys.Load(keys.Files{CA: f.CA, Cert: f.Cert, Key: f.Key}, time.Now())
	}
	return f, with, err
}

// ask puts a question to a running member, and returns the first answer.
func (c *fleetAsk) ask(q *pb.Ask) (*pb.Answer, error) {
	f, with, err := c.fleet()
	if err != nil {
		return nil, err
	}
	addrs := []string{c.At}
	if c.At == "" {
		addrs = nil
		for _, m := range f.Voters() {
			addrs = append(addrs, m.Addr)
		}
	}
	var failed []error
	for _, addr := range addrs {
		a, err := askAt(addr, with, q)
		if err == nil {
			return a, nil
		}
		failed = append(failed, fmt.Errorf("%s: %w", addr, err))
	}
	return nil, fmt.Errorf("no member answers: %w", errors.Join(failed...))
}

func askAt(addr string, with *tls.Config, q *pb.Ask) (*pb.Answer, error) {
	conn, err := link.Dial(addr, with)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(context.Background(), askFor)
	defer cancel()
	a, err := pb.NewLinksClient(conn).Call(ctx, q)
	if err == nil && a.Error != "" {
		err = errors.New(a.Error)
	}
	return a, err
}

func (c *fleetAsk) status() (*voter.Status, error) {
	a, err := c.ask(&pb.Ask{Status: &pb.Status{}})
	if err != nil {
		return nil, err
	}
	var s voter.Status
	if err := json.Unmarshal([]byte(a.Status), &s); err != nil {
		return nil, err
	}
	// A voter that follows knows nothing of when members were heard: the one that leads does.
	if c.At == "" && s.Leader != "" && s.Leader != s.ReportedBy {
		if file, err := operator.Load(c.Operator); err == nil {
			for _, m := range file.Fleet.Members {
				if m.Name == s.Leader {
					lead := fleetAsk{Operator: c.Operator, At: m.Addr}
					if t, err := lead.status(); err == nil && t.Leader == t.ReportedBy {
						return t, nil
					}
				}
			}
		}
	}
	return &s, nil
}

type fleetStatus struct {
	fleetAsk
	JSON bool `help:"As JSON."`
}

// Run runs the command.
func (c *fleetStatus) Run(env *Env) error {
	s, err := c.status()
	if err != nil {
		return err
	}
	if c.JSON {
		return putJSON(env, s)
	}
	leader := s.Leader
	if leader == "" {
		leader = "nobody: no quorum is known here"
	}
	fmt.Fprintf(env.Out, "asked %s: leader %s, term %d, applied %d, log %d bytes\n", s.ReportedBy, leader, s.Term, s.Applied, s.LogBytes)
	if s.Failed != "" {
		fmt.Fprintf(env.Out, "%s takes no part: %s\n", s.ReportedBy, s.Failed)
		return nil
	}
	w := tabwriter.NewWriter(env.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "MEMBER\tZONE\tVOTER\tSESSION\tHEARD\tDUTIES")
	for _, m := range s.Members {
		heard, session := "-", "none"
		if m.LastHeardMS >= 0 {
			heard = fmt.Sprintf("%.0f ms ago", m.LastHeardMS)
		}
		if m.Session != 0 {
			session = fmt.Sprint(m.Session)
		}
		fmt.Fprintf(w, "%s\t%s\t%t\t%s\t%s\t%d\n", m.Name, m.Zone, m.Voter, session, heard, m.Duties)
	}
	return w.Flush()
}

type fleetDuties struct {
	fleetAsk
	JSON bool `help:"As JSON."`
}

// Run runs the command.
func (c *fleetDuties) Run(env *Env) error {
	s, err := c.status()
	if err != nil {
		return err
	}
	if c.JSON {
		if s.Duties == nil {
			s.Duties = []voter.DutyStatus{}
		}
		return putJSON(env, s.Duties)
	}
	w := tabwriter.NewWriter(env.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "DUTY\tHOLDER\tTOKEN\tTO BE HANDED TO\tWORD")
	for _, d := range s.Duties {
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\n", d.Name, d.Holder, d.Token, d.TransferTo, d.Value)
	}
	return w.Flush()
}

type fleetCopies struct {
	fleetAsk
	JSON bool `help:"As JSON."`
}

// copyView is one sender's journal.
type copyView struct {
	Owner  string   `json:"owner"`
	With   string   `json:"with"` // whoever answers for it now: the owner, its heir, or nobody
	Epoch  uint64   `json:"epoch"`
	Copies []string `json:"copies"`
	State  string   `json:"state"`
	// Own is what the sender itself says of its copies; nil: it does not answer.
	Own *copies.Status `json:"own,omitempty"`
}

// mostAsks is how many senders are asked at once.
const mostAsks = 32

// askOwners asks each sender how its copies are.
func (c *fleetCopies) askOwners(list []copyView) {
	f, with, err := c.fleet()
	if err != nil || c.At != "" {
		return
	}
	var wg sync.WaitGroup
	room := make(chan struct{}, mostAsks)
	for i := range list {
		k := slices.IndexFunc(f.Members, func(m operator.Member) bool { return m.Name == list[i].Owner && m.Name == list[i].With })
		if k < 0 {
			continue
		}
		wg.Go(func() {
			room <- struct{}{}
			defer func() { <-room }()
			a, err := askAt(f.Members[k].Addr, with, &pb.Ask{Copies: &pb.Copies{}})
			var own copies.Status
			if err == nil && json.Unmarshal([]byte(a.Status), &own) == nil {
				list[i].Own = &own
			}
		})
	}
	wg.Wait()
}

// lag is how far the furthest holder is behind, in words.
func (v *copyView) lag() string {
	if v.Own == nil {
		return "-\t-\t-\t-"
	}
	var worst copies.Lag
	for _, h := range v.Own.Holders {
		if h.Batches >= worst.Batches {
			worst = h
		}
	}
	return fmt.Sprintf("%d batches, %.0f ms\t%d\t%d\t%d", worst.Batches, worst.MS, v.Own.Waiting, v.Own.UnderReplicated, v.Own.RemainingBytes)
}

// Run runs the command.
func (c *fleetCopies) Run(env *Env) error {
	s, err := c.status()
	if err != nil {
		return err
	}
	list := []copyView{}
	for _, d := range s.Duties {
		owner, own := strings.CutPrefix(d.Name, duty.JournalDuty(""))
		if !own {
			continue
		}
		v := copyView{Owner: owner, With: d.Holder, Epoch: d.Token, Copies: d.CopyHolders, State: "copied"}
		switch {
		case d.Holder == "":
			v.State = "nobody answers for it"
		case d.Holder != owner:
			v.State = "being taken over"
		case len(d.CopyHolders) == 0:
			v.State = "no copies"
		}
		list = append(list, v)
	}
	c.askOwners(list)
	if c.JSON {
		return putJSON(env, list)
	}
	w := tabwriter.NewWriter(env.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "OWNER\tWITH\tEPOCH\tCOPIES AT\tSTATE\tLAG\tWAITING\tSHORT\tBYTES LEFT")
	for i := range list {
		v := &list[i]
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%s\n", v.Owner, v.With, v.Epoch, strings.Join(v.Copies, ", "), v.State, v.lag())
	}
	return w.Flush()
}

type fleetHandOver struct {
	fleetAsk
	Duty string `arg:"" help:"The duty, as fleet duties names it."`
	Name string `arg:"" help:"The member that is to hold it."`
}

// Run runs the command.
func (c *fleetHandOver) Run(env *Env) error {
	_, err := c.ask(&pb.Ask{Command: &pb.Command{What: &pb.Command_HandOver{HandOver: &pb.HandOver{Duty: c.Duty, To: c.Name}}}})
	if err != nil {
		return err
	}
	fmt.Fprintf(env.Out, "%s: its holder is asked to hand over to %s\n", c.Duty, c.Name)
	return nil
}

type fleetRemove struct {
	fleetAsk
	Name string `arg:"" help:"The member."`
}

// Run runs the command.
func (c *fleetRemove) Run(env *Env) error {
	_, err := c.ask(&pb.Ask{Command: &pb.Command{What: &pb.Command_Remove{Remove: &pb.Remove{Member: c.Name}}}})
	if err != nil {
		return err
	}
	fmt.Fprintf(env.Out, "%s: removed; what it holds goes on to others once its lease is over\n", c.Name)
	return nil
}

func putJSON(env *Env, v any) error {
	enc := json.NewEncoder(env.Out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}
