package hostileclients

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const routerSettings = `instance: a
zone: za
data: data
roles: [entry, control]
listen: {callers: '%[1]s.1:8080', instances: '%[1]s.1:8081', membership: '%[1]s.1:8082'}
control_instances: [{name: a, zone: za, address: '%[1]s.1:8081'}]
peers: ['%[1]s.1:8082']
keys: {instances: instances.key, operators: operators.key}
limits: {memory: %[2]dMiB, connections: 910, header: 16KiB}
drain: {announce: 10ms, timeout: 1m}
declarations: declarations.yaml
`

// The token is "token".
const declarations = `models:
  - {name: m, weights: w1}
profiles:
  - {name: drafting, model: m, may_repeat: true, timeout: 30s, priority: urgent}
organisations:
  - {name: o, token_sha256: [3c469e9d6c5875d37a43f353d4f88e61fcf812c66eee3457465a40b0da4153e0]}
endpoints:
  - {name: e1, zone: za, address: '%[1]s.11:8000', models: [m], prefill_tokens_per_second: 10000, decode_tokens_per_second: 100}
`

// startRouter starts a router that is a deployment of its own, and an endpoint.
func startRouter(t *testing.T, programs, subnet string) *process {
	t.Helper()
	folder := t.TempDir()
	for name, text := range map[string]string{
		"a.yaml":            fmt.Sprintf(routerSettings, subnet, memoryMB),
		"declarations.yaml": fmt.Sprintf(declarations, subnet),
		"instances.key":     strings.Repeat("i", 40),
		"operators.key":     strings.Repeat("o", 40),
	} {
		assert.NilError(t, os.WriteFile(filepath.Join(folder, name), []byte(text), 0o600))
	}
	standin := start(t, filepath.Join(folder, "standin.log"), filepath.Join(programs, "carawaystile"), "standin", "-speedup", "20", filepath.Join(folder, "declarations.yaml"))
	p := start(t, filepath.Join(folder, "a.log"), filepath.Join(programs, "carawaystiled"), "serve", "-settings", filepath.Join(folder, "a.yaml"))
	await(t, "the router does not answer", func() bool { return routerAnswers(subnet) })
	assert.Assert(t, standin.isAlive())
	return p
}

// routerAnswers sends an ordinary request on a new connection.
func routerAnswers(subnet string) bool {
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := http.NewRequest(http.MethodPost, "http://"+subnet+".1:8080/v1/completions", strings.NewReader(`{"prompt": "one", "max_tokens": 4}`))
	if err != nil {
		return false
	}
	r.Header.Set("Authorization", "Bearer token")
	r.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(r)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	var body bytes.Buffer
	_, err = body.ReadFrom(resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

// Guards against a router that runs out of memory or descriptors, or hangs, because of what clients send to its listeners.
func TestCrowdsAtRouter(t *testing.T) {
	programs, subnet := build(t, "carawaystiled", "carawaystile"), freeSubnet(t)
	completion := "POST /v1/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer token\r\nContent-Type: application/json\r\n"
	for _, one := range []struct {
		name string
		port int
		send form
	}{
		{"unfinished_header_of_60_KB_in_short_fields", 8080, once(completion + shortFields(60_000))},
		{"unfinished_header_of_15_KB_in_short_fields", 8080, once(completion + shortFields(15_000))},
		{"headers_of_15_KB_again_and_again", 8080, endless("", completion+shortFields(15_000)+"\r\nContent-Length: 2\r\n\r\n{}")},
		{"chunks_without_end", 8080, endless(completion+"Transfer-Encoding: chunked\r\n\r\n", "3e8\r\n"+strings.Repeat("x", 1000)+"\r\n")},
		{"bodies_that_stop", 8080, once(completion + "Content-Length: 4000000\r\n\r\n" + strings.Repeat("x", 200_000))},
		{"silence", 8080, once("")},
		{"instances", 8081, once(completion + shortFields(60_000))},
	} {
		t.Run(one.name, func(t *testing.T) {
			p := startRouter(t, programs, subnet)
			defer p.kill()
			address := fmt.Sprintf("%s.1:%d", subnet, one.port)
			withstand(t, p, crowd{address: address, size: crowdSize, send: one.send}, func() bool { return routerAnswers(subnet) })
		})
	}
}
