package procs

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	"github.com/pkg/errors"
)

// Pause stops the process and waits until none of its threads runs: the signal
// reaches them one after the other.
func (p *Process) Pause() error {
	if err := p.Cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		return errors.Wrap(err, "pause")
	}
	return waitFor(func() bool { return stopped(p.Cmd.Process.Pid) })
}

// stopped reports whether all threads of a process are stopped.
func stopped(pid int) bool {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	if err != nil || len(files) == 0 {
		return false
	}
	for _, f := range files {
		b, err := os.ReadFile(f)
		// The state follows the program's name in brackets.
		_, rest, found := bytes.Cut(b, []byte(") "))
		if err != nil || !found || rest[0] != 'T' {
			return false
		}
	}
	return true
}
