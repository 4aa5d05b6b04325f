package cli

import (
	"encoding/json"
	"fmt"
	"text/tabwriter"

	"sliptide/internal/journal"
)

type journalCmd struct {
	Show   journalShow   `cmd:"" help:"Show the messages that have not ended."`
	Verify journalVerify `cmd:"" help:"Check a journal's records; status 1 if a part can't be read."`
}

type journalShow struct {
	Path string `arg:"" help:"A journal's file, or the state directory."`
	JSON bool   `help:"As JSON."`
}

// entryView is a journal entry without its body and its key, which are the clients' data.
type entryView struct {
	Number     uint64  `json:"number"`
	Trace      string  `json:"trace"`
	Class      string  `json:"class"`
	Tenant     string  `json:"tenant"`
	Dest       int     `json:"dest"`
	Attempts   int     `json:"attempts"`
	MayHaveRun bool    `json:"may_have_run"`
	LeftMS     float64 `json:"left_ms"`
	Bytes      int     `json:"bytes"`
	Ending     string  `json:"ending,omitempty"` // kind of the notice that is still to be sent
}

func (c *journalShow) Run(env *Env) error {
	r, err := journal.Inspect(c.Path)
	if err != nil {
		return err
	}
	list := []entryView{}
	for _, e := range r.Entries {
		list = append(list, entryView{
			Number: e.Num, Trace: e.Trace, Class: e.Class, Tenant: e.Tenant, Dest: e.Dest, Attempts: e.Attempts,
			MayHaveRun: e.MayHaveRun(), LeftMS: round(float64(e.Deadline) - env.Now()), Bytes: len(e.Body),
			Ending: map[int]string{journal.EndingAbandoned: "given_up", journal.EndingReturned: "handed_back"}[e.Ending],
		})
	}
	if c.JSON {
		enc := json.NewEncoder(env.Out)
		enc.SetIndent("", "  ")
		return enc.Encode(list)
	}
	fmt.Fprintf(env.Out, "%s: %d bytes, %d records, %d messages\n", r.File, r.Bytes, r.Records, len(list))
	w := tabwriter.NewWriter(env.Out, 0, 0, 2, ' ', 0)
	if len(list) > 0 {
		fmt.Fprintln(w, "NUMBER\tTRACE\tCLASS\tTENANT\tDEST\tATTEMPTS\tMAY HAVE RUN\tLEFT\tBYTES\tENDING")
	}
	for _, e := range list {
		fmt.Fprintf(w, "%d\t%.40q\t%s\t%s\t%d\t%d\t%t\t%.0f ms\t%d\t%s\n",
			e.Number, e.Trace, e.Class, e.Tenant, e.Dest, e.Attempts, e.MayHaveRun, e.LeftMS, e.Bytes, e.Ending)
	}
	return w.Flush()
}

type journalVerify struct {
	Path string `arg:"" help:"A journal's file, or the state directory."`
	JSON bool   `help:"As JSON."`
}

func (c *journalVerify) Run(env *Env) error {
	r, err := journal.Inspect(c.Path)
	if err != nil {
		return err
	}
	if c.JSON {
		err = json.NewEncoder(env.Out).Encode(map[string]any{
			"file": r.File, "bytes": r.Bytes, "records": r.Records, "messages": len(r.Entries), "whole_bytes": r.ValidBytes, "fine": !r.Damaged(),
		})
	} else {
		_, err = fmt.Fprintf(env.Out, "%s: %d bytes, %d records, %d messages not ended\n", r.File, r.Bytes, r.Records, len(r.Entries))
	}
	if err == nil && r.Damaged() {
		return fmt.Errorf("%s: from byte %d on it can't be read (after a crash this may be a last record that was never acknowledged)", r.File, r.ValidBytes)
	}
	return err
}
