package cli

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
)

// labProgram is the lab's program. It is not part of this one: what it links would cost each sender memory.
const labProgram = "sliptide-lab"

type labCmd struct {
	Args []string `arg:"" optional:"" passthrough:"" help:"run, list, report, compare or schema; --help tells more."`
}

// Run runs the command.
func (c *labCmd) Run(env *Env) error {
	path, err := labPath()
	if err != nil {
		return err
	}
	cmd := exec.Command(path, c.Args...)
	cmd.Stdin, cmd.Stdout, cmd.Stderr = os.Stdin, env.Out, env.Err
	err = cmd.Run()
	var ended *exec.ExitError
	if errors.As(err, &ended) && ended.ExitCode() == ExitUsage {
		return told{misuse}
	}
	if errors.As(err, &ended) {
		return told{errors.New("the lab failed")}
	}
	return err
}

// labPath is the lab's program beside this one, or else on the search path.
func labPath() (string, error) {
	if own, err := os.Executable(); err == nil {
		if own, err = filepath.EvalSymlinks(own); err == nil {
			path := filepath.Join(filepath.Dir(own), labProgram)
			if info, err := os.Stat(path); err == nil && info.Mode().IsRegular() {
				return path, nil
			}
		}
	}
	path, err := exec.LookPath(labProgram)
	if err != nil {
		return "", fmt.Errorf("%s is neither beside this program nor on the search path; make build builds both", labProgram)
	}
	return path, nil
}

// told marks an error of which the reader has been told.
type told struct{ error }

func (t told) Unwrap() error { return t.error }
