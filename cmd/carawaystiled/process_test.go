package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/carawaystile/carawaystile/cli"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"carawaystiled": func() { os.Exit(int(run(context.Background()))) },
		"carawaystile": func() {
			ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
			defer stop()
			os.Exit(int(cli.Run(ctx)))
		},
	})
}

// TestProcesses runs instances and stand-in endpoints as separate processes. In
// addition to the standard commands, scripts can use:
//
//	instance NAME      write the settings of an instance; NAME is a, b or c
//	start NAME         start its process
//	crash NAME         kill it
//	drain NAME         tell it to end, and wait until it has
//	ready NAME...      wait until the instances are ready for callers
//	until TEXT CMD     repeat a carawaystile command until its output contains TEXT
//	send NAME PATH KEY BODY   send a POST request to its callers' listener; stdout is the response
//
// Waiting commands have no timeout of their own: the timeout of the test ends a
// script that does not progress.
func TestProcesses(t *testing.T) {
	subnet, err := freeSubnet()
	if err != nil {
		t.Fatal(err)
	}
	processes := &processes{subnet: subnet}
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"instance": processes.instance,
			"start":    processes.start,
			"crash":    processes.crash,
			"drain":    processes.drain,
			"ready":    processes.ready,
			"until":    until,
			"send":     processes.send,
		},
		Setup: processes.setup,
	})
}

// freeSubnet finds a subnet of the loopback range that no other run of this test
// uses, and returns the first three numbers of its addresses.
func freeSubnet() (string, error) {
	for i := range 200 {
		subnet := fmt.Sprintf("127.%d.%d", 60+i, os.Getpid()%250+1)
		listener, err := net.Listen("tcp", subnet+".250:9")
		if err == nil {
			// The listener stays open until the process ends, to reserve the
			// subnet.
			_ = listener
			return subnet, nil
		}
	}
	return "", os.ErrExist
}

// processes are the processes of a script. Scripts run one at a time.
type processes struct {
	subnet  string
	running map[string]*exec.Cmd
	outputs map[string]*bytes.Buffer
}

// setup prepares the environment and key files of a script, and kills its processes
// at the end.
func (p *processes) setup(env *testscript.Env) error {
	p.running = make(map[string]*exec.Cmd)
	p.outputs = make(map[string]*bytes.Buffer)
	env.Setenv("SUBNET", p.subnet)
	env.Setenv("CARAWAYSTILE_INSTANCES", p.subnet+".1:8081,"+p.subnet+".2:8081,"+p.subnet+".3:8081")
	env.Setenv("CARAWAYSTILE_KEY", filepath.Join(env.WorkDir, "operators.key"))
	env.Defer(func() {
		for _, c := range p.running {
			_ = c.Process.Kill()
			_ = c.Wait()
		}
	})
	for _, name := range []string{"operators.key", "instances.key"} {
		if err := os.WriteFile(filepath.Join(env.WorkDir, name), []byte(strings.Repeat(name[:1], 40)), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// address returns the host part of an instance's addresses.
func (p *processes) address(name string) string {
	return fmt.Sprintf("%s.%d", p.subnet, name[0]-'a'+1)
}

const settingsTemplate = `instance: %[1]s
zone: z%[1]s
data: data-%[1]s
roles: [entry, control]
listen: {callers: '%[2]s:8080', instances: '%[2]s:8081', membership: '%[2]s:8082'}
control_instances:
  - {name: a, zone: za, address: '%[3]s.1:8081'}
  - {name: b, zone: zb, address: '%[3]s.2:8081'}
  - {name: c, zone: zc, address: '%[3]s.3:8081'}
peers: ['%[3]s.1:8082', '%[3]s.2:8082', '%[3]s.3:8082']
keys: {instances: instances.key, operators: operators.key}
drain: {announce: 10ms, timeout: 1m}
declarations: declarations.yaml
`

func (p *processes) instance(ts *testscript.TestScript, _ bool, args []string) {
	text := fmt.Sprintf(settingsTemplate, args[0], p.address(args[0]), p.subnet)
	ts.Check(os.WriteFile(ts.MkAbs(args[0]+".yaml"), []byte(text), 0o600))
	declarations := strings.ReplaceAll(ts.ReadFile("declarations.yaml"), "SUBNET", p.subnet)
	ts.Check(os.WriteFile(ts.MkAbs("declarations.yaml"), []byte(declarations), 0o600))
}

func (p *processes) start(ts *testscript.TestScript, _ bool, args []string) {
	c := exec.Command("carawaystiled", "serve", "-settings", ts.MkAbs(args[0]+".yaml"))
	if args[0] == "standins" {
		c = exec.Command("carawaystile", "standin", "-speedup", "20", ts.MkAbs("declarations.yaml"))
	}
	output := new(bytes.Buffer)
	c.Stdout = output
	c.Stderr = os.Stderr
	if !testing.Verbose() {
		c.Stderr = io.Discard
	}
	ts.Check(c.Start())
	p.running[args[0]] = c
	p.outputs[args[0]] = output
}

func (p *processes) crash(ts *testscript.TestScript, _ bool, args []string) {
	c := p.running[args[0]]
	delete(p.running, args[0])
	ts.Check(c.Process.Kill())
	_ = c.Wait()
}

// drain fails unless the process exits with code 0. The script can match its output
// with stdout.
func (p *processes) drain(ts *testscript.TestScript, _ bool, args []string) {
	c := p.running[args[0]]
	delete(p.running, args[0])
	ts.Check(c.Process.Signal(os.Interrupt))
	err := c.Wait()
	_, _ = ts.Stdout().Write(p.outputs[args[0]].Bytes())
	ts.Check(err)
}

func (p *processes) ready(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		url := "http://" + p.address(name) + ":8080/readyz"
		for !isReady(url) {
			time.Sleep(pollInterval)
		}
	}
}

func isReady(url string) bool {
	resp, err := http.Get(url)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode < http.StatusMultipleChoices
}

const pollInterval = 50 * time.Millisecond

func until(ts *testscript.TestScript, _ bool, args []string) {
	for {
		// The output of a failed command is ignored.
		_ = ts.Exec("carawaystile", args[1:]...)
		if strings.Contains(ts.ReadFile("stdout"), args[0]) {
			return
		}
		time.Sleep(pollInterval)
	}
}

func (p *processes) send(ts *testscript.TestScript, neg bool, args []string) {
	url := "http://" + p.address(args[0]) + ":8080" + args[1]
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(args[3]))
	ts.Check(err)
	req.Header.Set("Authorization", "Bearer token")
	req.Header.Set("Content-Type", "application/json")
	if strings.Contains(args[1], "/services/") {
		req.Header.Set("Content-Type", "application/octet-stream")
	}
	if args[2] != "-" {
		req.Header.Set("Idempotency-Key", args[2])
	}
	resp, err := http.DefaultClient.Do(req)
	ts.Check(err)
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	ts.Check(err)
	_, _ = ts.Stdout().Write(answer)
	if (resp.StatusCode == http.StatusOK) == neg {
		ts.Fatalf("status %d: %s", resp.StatusCode, answer)
	}
}
