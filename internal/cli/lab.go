package cli

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
)

// labProgram is the name of the lab's program. It is a program of its own because what it links would cost every sender
// memory.
const labProgram = "sliptide-lab"

type labCmd struct {
	Args []string `arg:"" optional:"" passthrough:"" help:"run, list, report, compare or schema; see --help."`
}

func (c *labCmd) Run(env *Env) error {
	path, err := labPath()
	if err != nil {
		return err
	}
	cmd := exec.Command(path, c.Args...)
	cmd.Stdin, cmd.Stdout, cmd.Stderr = os.Stdin, env.Out, env.Err
	err = cmd.Run()
	var exitErr *exec.ExitError
	if errors.As(err, &exitErr) && exitErr.ExitCode() == ExitUsage {
		return reportedError{usageError}
	}
	if errors.As(err, &exitErr) {
		return reportedError{errors.New("the lab failed")}
	}
	return err
}

// labPath returns the path of the lab's program: in the directory of this program, or else on the search path.
func labPath() (string, error) {
	if executable, err := os.Executable(); err == nil {
		if executable, err = filepath.EvalSymlinks(executable); err == nil {
			path := filepath.Join(filepath.Dir(executable), labProgram)
			if info, err := os.Stat(path); err == nil && info.Mode().IsRegular() {
				return path, nil
			}
		}
	}
	path, err := exec.LookPath(labProgram)
	if err != nil {
		return "", fmt.Errorf("%s is neither in the directory of this program nor on the search path; make build builds both", labProgram)
	}
	return path, nil
}

// reportedError marks an error whose message has been written already.
type reportedError struct{ error }

func (e reportedError) Unwrap() error { return e.error }
