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

const callTimeout = 4 * time.Second // timeout of a call to a member

type fleetCmd struct {
	Status   fleetStatus   `cmd:"" help:"Show the leader, the members and how many duties each holds."`
	Duties   fleetDuties   `cmd:"" help:"Show each duty, its holder and its token."`
	Copies   fleetCopies   `cmd:"" help:"Show which members hold copies of each sender's journal, and takeovers in progress."`
	HandOver fleetHandOver `cmd:"" help:"Ask the holder of a duty to transfer it to another member."`
	Remove   fleetRemove   `cmd:"" help:"Remove a member: its duties pass to others once its lease has expired."`
}

// memberQuery holds the flags that select the member to query.
type memberQuery struct {
	Operator string `help:"The operators' file, whose members are asked." placeholder:"FILE" env:"SLIPTIDE_OPERATOR" default:"deploy/sliptide.xml"`
	At       string `help:"Ask the member at this address alone." placeholder:"HOST:PORT"`
}

// fleet returns the fleet settings of the operators' file, and the TLS configuration for links if it names keys.
func (c *memberQuery) fleet() (f *operator.Fleet, tlsConfig *tls.Config, err error) {
	file, err := operator.Load(c.Operator)
	if err != nil {
		return nil, nil, fmt.Errorf("%w%w", usageError, err)
	}
	if f = &file.Fleet; !f.Enabled {
		return nil, nil, fmt.Errorf("%w%s: no <fleet enabled=\"true\">", usageError, c.Operator)
	}
	if f.Cert != "" {
		tlsConfig, _, err = keys.Load(keys.Files{CA: f.CA, Cert: f.Cert, Key: f.Key}, time.Now())
	}
	return f, tlsConfig, err
}

// ask sends the request to the voters in turn, or to the member at c.At alone, and returns the first answer.
func (c *memberQuery) ask(request *pb.Ask) (*pb.Answer, error) {
	f, tlsConfig, err := c.fleet()
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
	var errs []error
	for _, addr := range addrs {
		a, err := callMember(addr, tlsConfig, request)
		if err == nil {
			return a, nil
		}
		errs = append(errs, fmt.Errorf("%s: %w", addr, err))
	}
	return nil, fmt.Errorf("no member answered: %w", errors.Join(errs...))
}

// callMember sends the request to the member at addr. An error reported in the answer is returned as err.
func callMember(addr string, tlsConfig *tls.Config, request *pb.Ask) (*pb.Answer, error) {
	conn, err := link.Dial(addr, tlsConfig)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	a, err := pb.NewLinksClient(conn).Call(ctx, request)
	if err == nil && a.Error != "" {
		err = errors.New(a.Error)
	}
	return a, err
}

// status returns the status that the leader reports, or that of the member which answered if the leader does not. With
// At it returns that member's status.
func (c *memberQuery) status() (*voter.Status, error) {
	a, err := c.ask(&pb.Ask{Status: &pb.Status{}})
	if err != nil {
		return nil, err
	}
	var s voter.Status
	if err := json.Unmarshal([]byte(a.Status), &s); err != nil {
		return nil, err
	}
	// Only the leader knows when members were last heard, so a follower's answer is replaced by the leader's.
	if c.At == "" && s.Leader != "" && s.Leader != s.ReportedBy {
		if file, err := operator.Load(c.Operator); err == nil {
			for _, m := range file.Fleet.Members {
				if m.Name == s.Leader {
					leaderQuery := memberQuery{Operator: c.Operator, At: m.Addr}
					if answer, err := leaderQuery.status(); err == nil && answer.Leader == answer.ReportedBy {
						return answer, nil
					}
				}
			}
		}
	}
	return &s, nil
}

type fleetStatus struct {
	memberQuery
	JSON bool `help:"As JSON."`
}

func (c *fleetStatus) Run(env *Env) error {
	s, err := c.status()
	if err != nil {
		return err
	}
	if c.JSON {
		return writeJSON(env, s)
	}
	leader := s.Leader
	if leader == "" {
		leader = "none: no quorum is known here"
	}
	fmt.Fprintf(env.Out, "asked %s: leader %s, term %d, applied %d, log %d bytes\n", s.ReportedBy, leader, s.Term, s.Applied, s.LogBytes)
	if s.Failed != "" {
		fmt.Fprintf(env.Out, "%s does not participate: %s\n", s.ReportedBy, s.Failed)
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
	memberQuery
	JSON bool `help:"As JSON."`
}

func (c *fleetDuties) Run(env *Env) error {
	s, err := c.status()
	if err != nil {
		return err
	}
	if c.JSON {
		if s.Duties == nil {
			s.Duties = []voter.DutyStatus{}
		}
		return writeJSON(env, s.Duties)
	}
	w := tabwriter.NewWriter(env.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "DUTY\tHOLDER\tTOKEN\tTO BE HANDED TO\tWORD")
	for _, d := range s.Duties {
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\n", d.Name, d.Holder, d.Token, d.TransferTo, d.Value)
	}
	return w.Flush()
}

type fleetCopies struct {
	memberQuery
	JSON bool `help:"As JSON."`
}

// copyView describes the copies of one sender's journal.
type copyView struct {
	Owner  string   `json:"owner"`
	Holder string   `json:"with"` // current holder: the owner, its successor, or empty
	Epoch  uint64   `json:"epoch"`
	Copies []string `json:"copies"`
	State  string   `json:"state"`
	// Own is the owner's report of its copies; nil if there is none.
	Own *copies.Status `json:"own,omitempty"`
}

// maxConcurrentCalls bounds the number of senders that are queried at once.
const maxConcurrentCalls = 32

// askOwners queries each sender that holds the duty for its own journal, and stores its report in list. With At it
// queries none.
func (c *fleetCopies) askOwners(list []copyView) {
	f, tlsConfig, err := c.fleet()
	if err != nil || c.At != "" {
		return
	}
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentCalls)
	for i := range list {
		k := slices.IndexFunc(f.Members, func(m operator.Member) bool { return m.Name == list[i].Owner && m.Name == list[i].Holder })
		if k < 0 {
			continue
		}
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			a, err := callMember(f.Members[k].Addr, tlsConfig, &pb.Ask{Copies: &pb.Copies{}})
			var own copies.Status
			if err == nil && json.Unmarshal([]byte(a.Status), &own) == nil {
				list[i].Own = &own
			}
		})
	}
	wg.Wait()
}

// lag formats the last columns of a row: the lag of the holder that is furthest behind, and the owner's counts.
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

func (c *fleetCopies) Run(env *Env) error {
	s, err := c.status()
	if err != nil {
		return err
	}
	list := []copyView{}
	for _, d := range s.Duties {
		owner, ok := strings.CutPrefix(d.Name, duty.JournalDuty(""))
		if !ok {
			continue
		}
		v := copyView{Owner: owner, Holder: d.Holder, Epoch: d.Token, Copies: d.CopyHolders, State: "copied"}
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
		return writeJSON(env, list)
	}
	w := tabwriter.NewWriter(env.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "OWNER\tWITH\tEPOCH\tCOPIES AT\tSTATE\tLAG\tWAITING\tSHORT\tBYTES LEFT")
	for i := range list {
		v := &list[i]
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%s\n", v.Owner, v.Holder, v.Epoch, strings.Join(v.Copies, ", "), v.State, v.lag())
	}
	return w.Flush()
}

type fleetHandOver struct {
	memberQuery
	Duty string `arg:"" help:"The duty, as fleet duties names it."`
	Name string `arg:"" help:"The member that is to hold it."`
}

func (c *fleetHandOver) Run(env *Env) error {
	_, err := c.ask(&pb.Ask{Command: &pb.Command{What: &pb.Command_HandOver{HandOver: &pb.HandOver{Duty: c.Duty, To: c.Name}}}})
	if err != nil {
		return err
	}
	fmt.Fprintf(env.Out, "%s: its holder has been asked to transfer it to %s\n", c.Duty, c.Name)
	return nil
}

type fleetRemove struct {
	memberQuery
	Name string `arg:"" help:"The member."`
}

func (c *fleetRemove) Run(env *Env) error {
	_, err := c.ask(&pb.Ask{Command: &pb.Command{What: &pb.Command_Remove{Remove: &pb.Remove{Member: c.Name}}}})
	if err != nil {
		return err
	}
	fmt.Fprintf(env.Out, "%s: removed; its duties pass to others once its lease has expired\n", c.Name)
	return nil
}

func writeJSON(env *Env, v any) error {
	enc := json.NewEncoder(env.Out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}
