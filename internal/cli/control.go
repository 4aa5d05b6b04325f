package cli

import (
	"encoding/json"
	"fmt"
	"time"

	"sliptide/internal/control"
	"sliptide/internal/fleet/pb"
	"sliptide/internal/keys"
)

type controlCmd struct {
	Run    controlRun    `cmd:"" help:"Run a control member."`
	Check  controlCheck  `cmd:"" help:"Check a control member's file as a start would."`
	Status controlStatus `cmd:"" help:"Show each control member's leader, versions, endpoints, members and subscribers."`
	Schema controlSchema `cmd:"" help:"Print the XML Schema of a control member's file."`
}

type controlRun struct {
	File string `arg:"" help:"The control member's file."`
}

func (c *controlRun) Run(env *Env) error { return env.RunControlMember(c.File) }

type controlCheck struct {
	File string `arg:"" help:"The control member's file."`
}

func (c *controlCheck) Run(env *Env) error {
	if _, err := control.Load(c.File); err != nil {
		return fmt.Errorf("%w%w", usageError, err)
	}
	fmt.Fprintf(env.Out, "%s: fine\n", c.File)
	return nil
}

type controlSchema struct{}

func (c *controlSchema) Run(env *Env) error {
	_, err := fmt.Fprint(env.Out, control.Schema())
	return err
}

type controlStatus struct {
	File string `arg:"" help:"A control member's file, whose members are asked."`
	JSON bool   `help:"As JSON."`
}

func (c *controlStatus) Run(env *Env) error {
	settings, err := control.Load(c.File)
	if err != nil {
		return fmt.Errorf("%w%w", usageError, err)
	}
	tlsConfig, _, err := keys.Load(keys.Files{CA: settings.CA, Cert: settings.Cert, Key: settings.Key}, time.Now())
	if settings.Cert == "" {
		tlsConfig, err = nil, nil
	}
	if err != nil {
		return err
	}
	answered := 0
	for _, m := range settings.Members {
		a, err := callMember(m.DirectoryAddr, tlsConfig, &pb.Ask{Status: &pb.Status{}})
		if err != nil {
			fmt.Fprintf(env.Err, "%s at %s: %v\n", m.Name, m.DirectoryAddr, err)
			continue
		}
		answered++
		if c.JSON {
			fmt.Fprintln(env.Out, a.Status)
			continue
		}
		var s control.Status
		if err := json.Unmarshal([]byte(a.Status), &s); err != nil {
			return err
		}
		fmt.Fprintf(env.Out, "%s: leader %q, version %d, discovery's %d, %d endpoints, %d members, %d subscribed here\n", s.Name, s.Leader, s.Version, s.DiscoveryVersion, s.Endpoints, s.Members, s.Subscribers)
	}
	if answered == 0 {
		return fmt.Errorf("no control member answered")
	}
	return nil
}
