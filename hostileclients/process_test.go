package hostileclients

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// startTimeout ends a test whose processes do not start or do not answer.
const startTimeout = time.Minute

// build builds programs of this repository and returns their folder.
func build(t *testing.T, programs ...string) string {
	t.Helper()
	folder := t.TempDir()
	for _, name := range programs {
		output, err := exec.Command("go", "build", "-o", filepath.Join(folder, name), "../cmd/"+name).CombinedOutput()
		assert.NilError(t, err, "%s", output)
	}
	return folder
}

// freeSubnet finds loopback addresses that no other run uses, and holds them until the test ends.
func freeSubnet(t *testing.T) string {
	t.Helper()
	for i := range 200 {
		subnet := fmt.Sprintf("127.%d.%d", 40+i%20, (os.Getpid()+i)%250+1)
		held, err := net.Listen("tcp", subnet+".250:9")
		if err == nil {
			t.Cleanup(func() { _ = held.Close() })
			return subnet
		}
	}
	t.Fatal("no subnet is free")
	return ""
}

// process is a process of the system.
type process struct {
	t       *testing.T
	command *exec.Cmd
	output  string
	ended   chan struct{}
}

// start starts a process, and kills it at the end of the test.
func start(t *testing.T, output string, program string, arguments ...string) *process {
	t.Helper()
	file, err := os.Create(output)
	assert.NilError(t, err)
	p := &process{t: t, command: exec.Command(program, arguments...), output: output, ended: make(chan struct{})}
	p.command.Stdout, p.command.Stderr = file, file
	assert.NilError(t, p.command.Start())
	go func() {
		_ = p.command.Wait()
		_ = file.Close()
		close(p.ended)
	}()
	t.Cleanup(func() {
		_ = p.command.Process.Kill()
		<-p.ended
	})
	return p
}

// isAlive reports whether the process runs.
func (p *process) isAlive() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// peakMemory returns the high-water mark of the resident memory in bytes.
func (p *process) peakMemory() int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	assert.NilError(p.t, err)
	for line := range strings.Lines(string(status)) {
		if text, found := strings.CutPrefix(line, "VmHWM:"); found {
			kilobytes, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(text), "kB")), 10, 64)
			assert.NilError(p.t, err)
			return kilobytes << 10
		}
	}
	p.t.Fatal("no VmHWM in the status of the process")
	return 0
}

// descriptors returns the number of open descriptors.
func (p *process) descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	return len(entries)
}

// logBytes returns the size of the log.
func (p *process) logBytes() int64 {
	info, err := os.Stat(p.output)
	assert.NilError(p.t, err)
	return info.Size()
}

// logTail returns the last lines of the log.
func (p *process) logTail() string {
	text, err := os.ReadFile(p.output)
	assert.NilError(p.t, err)
	lines := bytes.Split(text, []byte("\n"))
	return string(bytes.Join(lines[max(0, len(lines)-5):], []byte("\n")))
}

// await calls a condition until it holds.
func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(startTimeout); !holds(); time.Sleep(50 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "%s", what)
	}
}

// kill ends the process.
func (p *process) kill() {
	_ = p.command.Process.Kill()
	<-p.ended
}
