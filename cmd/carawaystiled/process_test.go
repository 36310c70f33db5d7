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

// TestProcesses runs instances and stand-ins as processes of their own. A
// script's commands beside the usual ones are:
//
//	instance NAME      write the settings of an instance; NAME is a, b or c
//	start NAME         start its process
//	crash NAME         kill it
//	drain NAME         tell it to end, and wait until it has
//	ready NAME...      wait until the balancer may send callers there
//	until TEXT CMD     run a carawaystile command until its output has the text
//	send NAME PATH KEY BODY   post to its callers' side, output in stdout
//
// Waiting has no limit of its own: a script that never gets there is ended by
// the test's timeout.
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

// freeSubnet finds a part of the loopback range that no other run of this test
// uses: the first three numbers of its addresses.
func freeSubnet() (string, error) {
	for i := range 200 {
		subnet := fmt.Sprintf("127.%d.%d", 60+i, os.Getpid()%250+1)
		listener, err := net.Listen("tcp", subnet+".250:9")
		if err == nil {
			// Held until the process ends.
			_ = listener
			return subnet, nil
		}
	}
	return "", os.ErrExist
}

// processes are the instances of the scripts, one script at a time.
type processes struct {
	subnet  string
	running map[string]*exec.Cmd
	outputs map[string]*bytes.Buffer
}

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

// address is the host part of an instance's addresses.
func (p *processes) address(name string) string {
	return fmt.Sprintf("%s.%d", p.subnet, name[0]-'a'+1)
}

const settingsForm = `instance: %[1]s
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
	text := fmt.Sprintf(settingsForm, args[0], p.address(args[0]), p.subnet)
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

// drain fails unless the process ends by itself with exit code 0. Its output
// can be matched with stdout.
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
			time.Sleep(pause)
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

const pause = 50 * time.Millisecond

func until(ts *testscript.TestScript, _ bool, args []string) {
	for {
		// A command that fails has no output that counts.
		_ = ts.Exec("carawaystile", args[1:]...)
		if strings.Contains(ts.ReadFile("stdout"), args[0]) {
			return
		}
		time.Sleep(pause)
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
