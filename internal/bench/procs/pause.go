package procs

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	"github.com/pkg/errors"
)

// Pause sends SIGSTOP to the process and waits until all of its threads have
// stopped, as they stop one after the other. SIGCONT resumes the process.
func (p *Process) Pause() error {
	if err := p.Cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		return errors.Wrap(err, "pause")
	}
	return waitFor(func() bool { return allThreadsStopped(p.Cmd.Process.Pid) })
}

// allThreadsStopped reports whether all threads of a process are stopped. It
// returns false if their state can't be read.
func allThreadsStopped(pid int) bool {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	if err != nil || len(files) == 0 {
		return false
	}
	for _, f := range files {
		b, err := os.ReadFile(f)
		// The state follows the program's name, which is in parentheses.
		_, rest, found := bytes.Cut(b, []byte(") "))
		if err != nil || !found || rest[0] != 'T' {
			return false
		}
	}
	return true
}
