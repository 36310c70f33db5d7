package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// restartAfter is the time after which a process that ended by itself is started
// again.
const restartAfter = 300 * time.Millisecond

// Process is one instance of the system, as a process of its own. It is safe
// for concurrent use.
type Process struct {
	Name string
	// binary is the daemon, settings its settings file, and output the file that
	// takes what it writes.
	binary, settings, output string
	// data is the folder of its state; empty for none.
	data string

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	// wanted is set while the process should be running.
	wanted bool
	// asked is set while it has been told to end.
	asked bool
	life  int
	exits int
	// loggedBefore is the size of the output file when the process was started.
	loggedBefore int64
	// torn is set while a torn write is at the end of its newest file.
	torn bool
	// lastExit is the state of the process at its last end that was not requested.
	lastExit string
}

// Start starts the process, unless it runs.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wanted = true
	if p.command != nil {
		return nil
	}
	output, err := os.OpenFile(p.output, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	info, err := output.Stat()
	if err != nil {
		_ = output.Close()
		return err
	}
	command := exec.Command(p.binary, "forward", "-settings", p.settings)
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		_ = output.Close()
		return err
	}
	p.command, p.asked, p.torn, p.loggedBefore = command, false, false, info.Size()
	p.ended = make(chan struct{})
	p.life++
	go p.await(command, output, p.ended)
	return nil
}

// await notes the end of the process, and starts it again if nobody asked for
// that end.
func (p *Process) await(command *exec.Cmd, output *os.File, ended chan struct{}) {
	_ = command.Wait()
	_ = output.Close()
	p.mu.Lock()
	p.command = nil
	again := p.wanted && !p.asked
	if again {
		p.exits++
		p.lastExit = command.ProcessState.String()
	}
	p.mu.Unlock()
	close(ended)
	if again {
		time.Sleep(restartAfter)
		p.mu.Lock()
		again = p.wanted
		p.mu.Unlock()
		if again {
			_ = p.Start()
		}
	}
}

// signal sends a signal to the process, if it runs.
func (p *Process) signal(s syscall.Signal) {
	if p.command != nil {
		_ = p.command.Process.Signal(s)
	}
}

// Kill ends the process at once and waits until it has ended.
func (p *Process) Kill() {
	p.mu.Lock()
	p.wanted, p.asked = false, true
	p.signal(syscall.SIGKILL)
	running, ended := p.command != nil, p.ended
	p.mu.Unlock()
	if running {
		<-ended
	}
}

// Terminate asks the process to end, waits until it has, and kills it when that
// takes too long. It reports whether the process ended before that. asking is called before
// the signal, if the process runs; again says whether it has been asked before.
func (p *Process) Terminate(grace time.Duration, asking func(again bool)) bool {
	p.mu.Lock()
	if p.command != nil {
		asking(p.asked)
	}
	p.wanted, p.asked = false, true
	p.signal(syscall.SIGTERM)
	running, ended := p.command != nil, p.ended
	p.mu.Unlock()
	if !running {
		return true
	}
	select {
	case <-ended:
		return true
	case <-time.After(grace):
		p.Kill()
		return false
	}
}

// Pause stops the process from running, and Resume lets it go on.
func (p *Process) Pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.signal(syscall.SIGSTOP)
}

// Resume lets a paused process go on.
func (p *Process) Resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.signal(syscall.SIGCONT)
}

// Reload tells the process that its settings file has changed. A process that has logged nothing yet
// may not handle the signal, which would end it, and reads the file anyway.
func (p *Process) Reload() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if info, err := os.Stat(p.output); err == nil && info.Size() > p.loggedBefore {
		p.signal(syscall.SIGHUP)
	}
}

// Wipe removes the state of a process that does not run.
func (p *Process) Wipe() error {
	if err := os.RemoveAll(p.data); err != nil {
		return err
	}
	return os.MkdirAll(p.data, 0o700)
}

// Tear adds bytes to the end of the newest file of a process that does not run,
// as a write leaves them that power loss cut off before it was synced. One that has not run since is
// left as it is: only the last write of a process can be torn.
func (p *Process) Tear(bytes []byte) error {
	p.mu.Lock()
	again := p.torn
	p.torn = true
	p.mu.Unlock()
	if again {
		return nil
	}
	var newest string
	var at time.Time
	err := filepath.Walk(p.data, func(path string, info os.FileInfo, err error) error {
		if err == nil && info.Mode().IsRegular() && filepath.Ext(path) == logSuffix && info.ModTime().After(at) {
			newest, at = path, info.ModTime()
		}
		return err
	})
	if err != nil || newest == "" {
		return err
	}
	file, err := os.OpenFile(newest, os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	_, err = file.Write(bytes)
	if closed := file.Close(); err == nil {
		err = closed
	}
	return err
}

// Life counts the starts of the process; running says whether it runs now.
func (p *Process) Life() (life int, running bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.life, p.command != nil && !p.asked
}

// peakMemory is the largest resident memory of the running process so far, in bytes; 0 if the
// process doesn't run. The error is that of a status whose value is not a number.
func (p *Process) peakMemory() (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return 0, nil
	}
	status, err := os.ReadFile("/proc/" + strconv.Itoa(p.command.Process.Pid) + "/status")
	_, text, found := strings.Cut(string(status), "VmHWM:")
	if err != nil || !found {
		return 0, nil // it has just ended
	}
	text, _, _ = strings.Cut(text, "kB")
	kilobytes, err := strconv.Atoi(strings.TrimSpace(text))
	return kilobytes << 10, err
}

// Exits is how often the process ended though nobody asked it to, and how it did so last.
func (p *Process) Exits() (n int, last string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exits, p.lastExit
}
