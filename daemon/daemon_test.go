package daemon

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/settings"
	"github.com/carawaystile/carawaystile/standin"
	"github.com/carawaystile/carawaystile/tables"
)

// heldListeners holds open listeners on loopback ports until an instance uses them,
// so that no other process can take the ports.
type heldListeners map[netip.AddrPort]net.Listener

// hold opens a listener on a free port and returns its address.
func (p heldListeners) hold(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	at := netip.MustParseAddrPort(l.Addr().String())
	p[at] = l
	return at
}

// listen returns the held listener of an address and gives it up; other addresses
// are opened anew.
func (p heldListeners) listen(at netip.AddrPort) (net.Listener, error) {
	if l := p[at]; l != nil {
		delete(p, at)
		return l, nil
	}
	return listenTCP(at)
}

// operatorKey is the key of operators and instances in tests.
var operatorKey = strings.Repeat("k", 40)

// testOptions returns the options of an instance i1 with both roles.
func testOptions(t *testing.T, declarations *tables.Configuration) Options {
	t.Helper()
	held := make(heldListeners)
	file := filepath.Join(t.TempDir(), "key")
	assert.NilError(t, os.WriteFile(file, []byte(operatorKey+"\n"), 0o600))
	at := held.hold(t)
	process := &settings.Process{
		Control: true, ControlInstances: []settings.ControlInstance{{Name: "i1", Zone: "z", Address: at}},
		Keys:     settings.Keys{Operators: file, Instances: file},
		Instance: "i1", Zone: "z", Data: t.TempDir(), Entry: true, Size: 1,
		Listen: settings.Listen{Callers: held.hold(t), Instances: at, Membership: netip.AddrPortFrom(at.Addr(), 0)},
		Limits: settings.Limits{BodyBytes: 1 << 20, HeaderBytes: 1 << 16, Connections: 100, Requests: 100, OrganisationRequests: 100},
	}
	return Options{Process: process, Declarations: declarations, Listen: held.listen}
}

// testToken is the API token of the test organisation.
const testToken = "token"

// testDeclarations returns a configuration with one model, one profile and one
// organisation over the given engines.
func testDeclarations(engines ...*standin.Engine) *tables.Configuration {
	sum := sha256.Sum256([]byte(testToken))
	c := &tables.Configuration{
		WeightLoads:   2,
		Models:        []tables.Model{{Name: "m", Weights: "w1"}},
		Profiles:      []tables.Profile{{Name: "p", Model: "m", Idempotent: true, Timeout: 20 * time.Second, Priority: tables.Urgent}},
		Organisations: []tables.Organisation{{ID: "o", Share: 1, TokenHashes: []string{hex.EncodeToString(sum[:])}}},
	}
	for _, e := range engines {
		c.Endpoints = append(c.Endpoints, tables.Endpoint{
			ID: e.ID(), Zone: "z", Address: e.Address(), Life: 1, Models: []tables.ModelName{"m"}, Slots: 8, CacheBlocks: 64,
		})
	}
	return c
}

// startTestEngine starts a stand-in engine that serves model m with the given
// weights.
func startTestEngine(t *testing.T, id tables.EndpointID, weights tables.WeightsVersion) *standin.Engine {
	t.Helper()
	e, err := standin.StartEngine(standin.EngineOptions{
		ID: id, Speedup: -1, Weights: map[tables.ModelName]tables.WeightsVersion{"m": weights}, ChecksFence: true,
	})
	assert.NilError(t, err)
	t.Cleanup(e.Close)
	return e
}

// complete sends a completion request and returns the status and body of the
// response.
func complete(t *testing.T, at netip.AddrPort, body string) (int, string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+at.String()+"/v1/completions", strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+testToken)
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, string(answer)
}

// A streamed completion must arrive in full, and appear in the metrics and in
// explain.
func TestInstanceServesStreamedCompletion(t *testing.T) {
	e := startTestEngine(t, "e1", "w1")
	options := testOptions(t, testDeclarations(e))
	process := options.Process
	d, err := Start(options)
	assert.NilError(t, err)
	defer d.Stop()
	<-d.Configured()
	status, answer := complete(t, process.Listen.Callers, `{"prompt": "one", "max_tokens": 5, "stream": true}`)
	assert.Equal(t, status, http.StatusOK, answer)
	assert.Equal(t, strings.Count(answer, "data: "), 7, answer)
	assert.Assert(t, strings.HasSuffix(answer, "data: [DONE]\n\n"), answer)

	_, text := getOperatorPath(t, process, "/metrics", operatorKey)
	assert.Assert(t, strings.Contains(text,
		`carawaystile_organisation_time_to_first_token_seconds_count{organisation="o"} 1`), text)

	assert.Assert(t, strings.Contains(text, "carawaystile_revision 1\n"), text)
	assert.Assert(t, strings.Contains(text, `carawaystile_instances{state="alive"} 1`), text)

	var event struct{ ID string }
	first, _, _ := strings.Cut(strings.TrimPrefix(answer, "data: "), "\n")
	assert.NilError(t, json.Unmarshal([]byte(first), &event))
	status, text = getOperatorPath(t, process, ExplainPath+"?request="+event.ID, operatorKey)
	assert.Equal(t, status, http.StatusOK, text)
	assert.Assert(t, strings.Contains(text, `"endpoint":"e1"`), text)
}

// getOperatorPath sends a GET request to the operators' listener of an instance.
func getOperatorPath(t *testing.T, process *settings.Process, path, key string) (int, string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, "http://"+process.Listen.Instances.String()+path, nil)
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, string(text)
}

// A caller that finds the operators' address and sends its own token there must
// obtain neither measurements of other organisations nor routing decisions.
func TestOperatorPathsRejectCallerToken(t *testing.T) {
	options := testOptions(t, testDeclarations())
	process := options.Process
	d, err := Start(options)
	assert.NilError(t, err)
	defer d.Stop()
	for _, path := range []string{"/metrics", MeasurementsPath, ExplainPath + "?request=r"} {
		status, text := getOperatorPath(t, process, path, testToken)
		assert.Equal(t, status, http.StatusUnauthorized, "%s gave %s", path, text)
	}
}

// Guards against a status that reports the activation time of the previous
// revision: it was read while the newer revision was being applied.
func TestStatusReportsActivationTimeOfRevision(t *testing.T) {
	options := testOptions(t, testDeclarations())
	before := time.Now()
	d, err := Start(options)
	assert.NilError(t, err)
	defer d.Stop()
	<-d.Configured()
	statuses := d.instanceStatuses()
	assert.Equal(t, len(statuses), 1)
	assert.Equal(t, statuses[0].GetRevision(), uint64(1))
	assert.Assert(t, statuses[0].GetSince() >= before.UnixNano(), "since %v", time.Unix(0, statuses[0].GetSince()))
}

// The declarations name newer weights than the engine serves. Requests must not be
// served with the old weights, and the engine must be ordered to load the new ones
// without an operator's intervention.
func TestEngineLoadsDeclaredWeights(t *testing.T) {
	e := startTestEngine(t, "e1", "w0")
	options := testOptions(t, testDeclarations(e))
	d, err := Start(options)
	assert.NilError(t, err)
	defer d.Stop()
	<-d.Configured()
	status := 0
	for deadline := time.Now().Add(30 * time.Second); status != http.StatusOK && time.Now().Before(deadline); {
		status, _ = complete(t, options.Process.Listen.Callers, `{"prompt": "one", "max_tokens": 1}`)
	}
	assert.Equal(t, status, http.StatusOK)
	for _, a := range e.Records().Attempts() {
		assert.Equal(t, a.Weights, tables.WeightsVersion("w1"), "attempt %s", a.Attempt)
	}
}

// Two instances have no configured peers, and can discover each other only from the
// platform's list. Otherwise each would claim the full share of every limit.
func TestInstancesDiscoverPeersFromPlatformList(t *testing.T) {
	platform, err := standin.StartPlatform(netip.AddrPort{}, 0)
	assert.NilError(t, err)
	defer platform.Close()
	first := testOptions(t, testDeclarations())
	second := testOptions(t, nil)
	second.Process.Instance = "i2"
	second.Process.Control = false
	second.Process.ControlInstances = first.Process.ControlInstances
	var started []*Daemon
	for _, options := range []Options{first, second} {
		options.Process.PlatformList = platform.Address()
		d, err := Start(options)
		assert.NilError(t, err)
		defer d.Stop()
		started = append(started, d)
		platform.Set(engine.PlatformInstance{
			ID:         tables.EndpointID(options.Process.Instance),
			State:      engine.PlatformLive,
			Membership: d.members.Load().Address(),
		})
	}
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); {
		if len(started[0].liveEntryPeers()) == 1 && len(started[1].liveEntryPeers()) == 1 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the instances did not discover each other")
}

// Logs have a wider audience than prompts. Even at debug level and through
// failures, no log line may contain a prompt, a token of a response or a
// credential.
func TestLogsContainNoPromptsOrCredentials(t *testing.T) {
	e := startTestEngine(t, "e1", "w1")
	var lines bytes.Buffer
	core := zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.Lock(zapcore.AddSync(&lines)), zapcore.DebugLevel)
	options := testOptions(t, testDeclarations(e))
	options.Log = zap.New(core)
	d, err := Start(options)
	assert.NilError(t, err)
	<-d.Configured()
	const prompt = "confidential-prompt"
	at := options.Process.Listen.Callers
	status, answer := complete(t, at, `{"prompt": "`+prompt+`", "max_tokens": 3}`)
	assert.Equal(t, status, http.StatusOK, answer)
	e.Crash()
	_, _ = complete(t, at, `{"prompt": "`+prompt+`", "max_tokens": 3}`)
	d.Stop()
	var whole struct{ Choices []struct{ Text string } }
	assert.NilError(t, json.Unmarshal([]byte(answer), &whole))
	log := lines.String()
	assert.Assert(t, strings.Contains(log, `"event":1005`), "the failure is not logged: %s", log)
	for _, text := range []string{prompt, strings.TrimSpace(whole.Choices[0].Text), testToken + `"`, operatorKey} {
		assert.Assert(t, !strings.Contains(log, text), "the log contains %q: %s", text, log)
	}
}
